//! Trace of the log lines that explain the outcome of a request.

fn log(name: &str, lines: &[&str]) -> (String, String) {
    (name.into(), lines.join("\n"))
}

#[test]
fn trace_has_the_request_and_related_decisions() {
    let logs = [
        log(
            "vm-1.log",
            &[
                r#"{"time_ms":1000,"target":"decision","message":"too early","entry":{"kind":"freshness"}}"#,
                r#"  3.2 vm-1 {"time_ms":9000,"target":"decision","message":"keyed requests refused","entry":{"kind":"freshness"}}"#,
                r#"{"time_ms":9100,"target":"request","message":"no connection","instance":"db-1"}"#,
                r#"{"time_ms":9200,"target":"request","message":"refused","id":"ab","cause":"Stale","customer":"tienda","retry_ms":500}"#,
                r#"{"time_ms":9250,"target":"request","message":"refused","id":"cd","cause":"OverRate","customer":"other"}"#,
                r#"{"time_ms":9300,"target":"decision","message":"3 requests of tienda refused","entry":{"kind":"refusals","customer":"tienda"}}"#,
                r#"{"time_ms":9300,"target":"decision","message":"3 requests of other refused","entry":{"kind":"refusals","customer":"other"}}"#,
                "not a line of ours",
            ],
        ),
        log(
            "vm-2.log",
            &[
                r#"{"time_ms":9050,"target":"decision","message":"claimed","entry":{"kind":"handover"}}"#,
                r#"{"time_ms":9060,"target":"decision","message":"keyed requests refused there","entry":{"kind":"freshness"}}"#,
            ],
        ),
    ];
    let lines = telemetry::trace(&logs, "ab");
    let texts: Vec<_> = lines.iter().map(|line| line.text.as_str()).collect();
    assert_eq!(
        texts,
        [
            "keyed requests refused",
            "claimed",
            "refused id=ab customer=tienda cause=Stale retry_ms=500",
            "3 requests of tienda refused",
        ]
    );
    assert_eq!(telemetry::trace(&logs, "ef"), Vec::new());
}

#[test]
fn trace_of_a_refusal_names_the_evacuation() {
    let logs = [log(
        "vm-1.log",
        &[
            r#"{"time_ms":8000,"message":"failure domain a evacuated","entry":{"kind":"evacuation"}}"#,
            r#"{"time_ms":9200,"target":"request","message":"refused","id":"ab","cause":"Evacuated"}"#,
        ],
    )];
    let lines = telemetry::trace(&logs, "ab");
    let texts: Vec<_> = lines.iter().map(|line| line.text.as_str()).collect();
    let expected = [
        "failure domain a evacuated",
        "refused id=ab cause=Evacuated",
    ];
    assert_eq!(texts, expected);
}
