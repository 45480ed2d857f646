//! Parts of the store that one VM passes on to another arrive unchanged, whether they are
//! sent as plain or as deflated JSON.

mod pair;

use kernel::{event, message, time, view};
use pair::{Pair, name};

fn view_reply(vms: u64) -> message::ViewReply {
    let rows = (0..vms).map(|i| {
        let row = event::Row::Member(event::MemberEntry {
            vm: event::Vm {
                name: name(&format!("vm-{i}")),
                domain: name("domain-0"),
                region: name("home"),
                peer: format!("10.0.0.{i}:7000"),
                leaving: false,
            },
            incarnation: 1_700_000_000_000 + i,
            released: false,
            doubted: false,
        });
        view::Change::Row(row.key(), Some((i, row)))
    });
    message::ViewReply {
        sent: time::Time(7),
        parts: vec![message::PartUpdate {
            part: view::Part::Rows,
            age: 5,
            version: vms,
            whole: true,
            changes: rows.collect(),
        }],
    }
}

#[test]
fn parts_of_the_store_arrive_unchanged() {
    let pair = Pair::start();
    for vms in [0, 1, 300] {
        let message = message::Message::ViewReply(view_reply(vms));
        assert_eq!(pair.send(message.clone()), (name("far"), message));
    }
    // The plain JSON of each of the 300 entries has about 300 bytes.
    let bytes = peer::encoded_size(&message::Message::ViewReply(view_reply(300)));
    assert!(bytes < 300 * 300 / 4, "{bytes}");
}

#[test]
fn evacuations_arrive_unchanged() {
    let pair = Pair::start();
    let domain = name("domain-1");
    let message = message::Message::ViewReply(message::ViewReply {
        sent: time::Time(7),
        parts: vec![message::PartUpdate {
            part: view::Part::Configuration,
            age: 5,
            version: 9,
            whole: false,
            changes: vec![
                view::Change::Evacuation(domain.clone(), Some(8)),
                view::Change::Evacuation(domain, None),
            ],
        }],
    });
    assert_eq!(pair.send(message.clone()), (name("far"), message));
}
