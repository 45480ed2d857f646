//! Requests for budgets, and transfers of them, arrive unchanged for each kind of budget.

mod pair;

use kernel::{budget, message};
use pair::{Pair, name};

#[test]
fn transfers_of_each_kind_of_budget_arrive_unchanged() {
    let pair = Pair::start();
    for scarce in [
        budget::Resource::Rate(name("tienda")),
        budget::Resource::Connections(name("orders-0")),
        budget::Resource::Warmup(name("orders-0")),
    ] {
        let request = message::Message::RequestTransfer(budget::TransferRequest {
            scarce: scarce.clone(),
            epoch: 3,
            nonce: 4,
            units: 0,
            tokens: 1,
        });
        assert_eq!(pair.send(request.clone()), (name("far"), request));
        let transfer = message::Message::Transfer(budget::Transfer {
            scarce,
            epoch: 3,
            nonce: 4,
            units: 5,
            tokens: 1_000_000,
        });
        assert_eq!(pair.send(transfer.clone()), (name("far"), transfer));
    }
}
