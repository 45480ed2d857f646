//! What VMs pass on of the store arrives as it was, small or large.

mod pair;

use kernel::{event, message, time, view};
use pair::{Pair, name};

fn passed(vms: u64) -> message::ViewReply {
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
fn parts_of_the_store_arrive_as_they_were_sent() {
    let pair = Pair::start();
    for vms in [0, 1, 300] {
        let message = message::Message::ViewReply(passed(vms));
        assert_eq!(pair.pass(message.clone()), (name("far"), message));
    }
    // 300 entries of 300 bytes.
    let bytes = peer::encoded_size(&message::Message::ViewReply(passed(300)));
    assert!(bytes < 300 * 300 / 4, "{bytes}");
}
