//! Helpers of the end-to-end tests.

#![allow(dead_code)]

pub mod raw;

use postgres::{Client, NoTls, error::SqlState};

/// Connects as the first customer through the daemon of a VM.
pub fn connect(cluster: &testbed::Cluster, vm: usize) -> Client {
    Client::connect(&cluster.url(vm, 0, 0), NoTls).expect("the daemon lets the customer in")
}

/// Creates the `orders` table.
pub fn create_orders(cluster: &testbed::Cluster) {
    let create = "CREATE TABLE orders (id INT PRIMARY KEY, item TEXT, quantity INT)";
    connect(cluster, 0)
        .batch_execute(create)
        .expect("the table is created");
}

/// Inserts one order.
pub fn insert(client: &mut Client, id: i32, quantity: i32) -> Result<u64, postgres::Error> {
    let insert = "INSERT INTO orders (id, item, quantity) VALUES ($1, $2, $3)";
    client.execute(insert, &[&id, &"harvest loaf", &quantity])
}

/// Quantity of an order, or `None` if the order does not exist.
pub fn quantity(client: &mut Client, id: i32) -> Result<Option<i32>, postgres::Error> {
    let select = "SELECT quantity FROM orders WHERE id = $1";
    let row = client.query_opt(select, &[&id])?;
    Ok(row.map(|row| row.get(0)))
}

/// SQLSTATE of an error.
pub fn sqlstate(error: &postgres::Error) -> SqlState {
    error
        .code()
        .cloned()
        .unwrap_or(SqlState::SUCCESSFUL_COMPLETION)
}

/// DETAIL of an error.
pub fn detail(error: &postgres::Error) -> String {
    let detail = error.as_db_error().and_then(|db| db.detail());
    detail.unwrap_or_default().to_string()
}
