//! Encoding and decoding of kernel messages in the Cap'n Proto schema.

use std::{io::Read, sync};

use config::Name;
use flate2::{Compression, read};
use kernel::{budget, event, message, position, time};

use crate::{failure, peer_capnp as schema};

type Decoded<T> = Result<T, failure::Failure>;

fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn read_name(text: capnp::text::Reader<'_>) -> Decoded<Name> {
    let text = text.to_str().map_err(|_| failure::Failure::Malformed)?;
    Name::try_from(text).map_err(|_| failure::Failure::Malformed)
}

fn from_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Decoded<T> {
    serde_json::from_slice(bytes).map_err(|_| failure::Failure::Malformed)
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Largest JSON that is inflated from a field: enough for all parts of the store with
/// a few thousand VMs.
const MAX_INFLATED_BYTES: u64 = 64 << 20;

/// Size from which JSON is deflated; below it, deflating costs more than it saves.
const MIN_DEFLATE_BYTES: usize = 512;
/// First byte of a field with plain JSON.
const PLAIN_TAG: u8 = 0;
/// First byte of a field with deflated JSON.
const DEFLATED_TAG: u8 = 1;

fn decompress_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Decoded<T> {
    match bytes {
        [PLAIN_TAG, text @ ..] => from_json(text),
        [DEFLATED_TAG, deflated @ ..] => {
            let mut text = Vec::new();
            let mut decoder = read::DeflateDecoder::new(deflated).take(MAX_INFLATED_BYTES);
            let inflated = decoder.read_to_end(&mut text);
            inflated.map_err(|_| failure::Failure::Malformed)?;
            from_json(&text)
        }
        _ => Err(failure::Failure::Malformed),
    }
}

fn compress_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let text = to_json(value);
    if text.len() >= MIN_DEFLATE_BYTES {
        let mut deflated = vec![DEFLATED_TAG];
        let mut encoder = read::DeflateEncoder::new(&text[..], Compression::fast());
        match encoder.read_to_end(&mut deflated) {
            Ok(_) => return deflated,
            Err(error) => log::error!("cannot deflate a message, sending plain JSON: {error}"),
        }
    }
    let mut plain = vec![PLAIN_TAG];
    plain.extend(text);
    plain
}

/// Size of an encoded message in bytes, without the framing of the RPC call.
pub fn encoded_size(message: &message::Message) -> usize {
    let mut builder = capnp::message::Builder::new_default();
    write(message, builder.init_root());
    capnp::serialize::compute_serialized_size_in_words(&builder) * 8
}

/// Encodes a message.
pub fn write(message: &message::Message, mut to: schema::message::Builder<'_>) {
    match message {
        message::Message::Ping(sent, report) => write_exchange(*sent, report, to.init_ping()),
        message::Message::Pong(sent, report) => write_exchange(*sent, report, to.init_pong()),
        message::Message::Vms(vms) => write_vms(vms, to.init_vms(list_length(vms.len()))),
        message::Message::FetchNotes(after) => to.set_fetch(*after),
        message::Message::Notes(after, notes) => {
            let mut to = to.init_notes();
            to.set_after(*after);
            let mut list = to.init_notes(list_length(notes.len()));
            for (i, note) in (0..).zip(notes) {
                list.set(i, &to_json(note));
            }
        }
        message::Message::Snapshot(head) => to.set_snapshot(&to_json(head)),
        message::Message::Epoch(epoch) => write_epoch(epoch, to.init_epoch()),
        message::Message::RequestTransfer(request) => {
            let mut to = to.init_ask();
            to.set_epoch(request.epoch);
            to.set_nonce(request.nonce);
            to.set_units(request.units);
            to.set_tokens(request.tokens);
            write_resource(&request.scarce, to.init_scarce());
        }
        message::Message::Transfer(transfer) => {
            let mut to = to.init_give();
            to.set_epoch(transfer.epoch);
            to.set_nonce(transfer.nonce);
            to.set_units(transfer.units);
            to.set_tokens(transfer.tokens);
            write_resource(&transfer.scarce, to.init_scarce());
        }
        message::Message::ConfirmTransfer(nonce) => to.set_took(*nonce),
        message::Message::SuspectPrimary(suspicion) => {
            let mut to = to.init_suspect();
            to.set_group(&**suspicion.group);
            to.set_term(suspicion.term.0);
        }
        message::Message::CloseLeader(claim) => write_claim(claim, to.init_close()),
        message::Message::LeaderClosed(closed) => {
            let mut to = to.init_closed();
            write_claim(&closed.claim, to.reborrow());
            let acknowledged = closed.acknowledged.unwrap_or_default();
            to.set_counted(closed.acknowledged.is_some());
            to.set_term(acknowledged.term.0);
            to.set_lsn(acknowledged.lsn.0);
        }
        message::Message::ViewRequest(request) => {
            let mut to = to.init_follow();
            to.set_sent(request.sent.0);
            to.set_known(&to_json(&request.known));
        }
        message::Message::ViewReply(reply) => {
            let mut to = to.init_passed();
            to.set_sent(reply.sent.0);
            to.set_parts(&compress_json(&reply.parts));
        }
        message::Message::ViewChanged => to.set_changed(()),
        message::Message::CancelStatement(process, secret) => {
            let mut to = to.init_cancel();
            to.set_process(*process);
            to.set_secret(*secret);
        }
    }
}

fn write_claim(claim: &message::Claim, mut to: schema::claim::Builder<'_>) {
    to.set_group(&**claim.group);
    to.set_token(claim.token);
    to.set_planned(claim.planned);
}

fn read_claim(from: schema::claim::Reader<'_>) -> Decoded<message::Claim> {
    Ok(message::Claim {
        group: read_name(from.get_group()?)?,
        token: from.get_token(),
        planned: from.get_planned(),
    })
}

fn write_exchange(
    sent: time::Time,
    report: &message::Report,
    mut to: schema::exchange::Builder<'_>,
) {
    to.set_sent(sent.0);
    to.set_incarnation(report.incarnation);
    to.set_revision(report.revision);
    to.set_epoch(report.epoch);
    to.set_listed(report.listed);
    to.set_version(report.version);
    to.set_list(report.list);
    let count = list_length(report.common.len());
    let mut list = to.reborrow().init_common(count);
    for (i, state) in (0..).zip(&report.common) {
        let mut to = list.reborrow().get(i);
        to.set_domain(&**state.domain);
        to.set_age(state.age);
        to.set_revision(state.revision);
        to.set_epoch(state.epoch);
    }
    let count = list_length(report.positions.len());
    let mut list = to.reborrow().init_positions(count);
    for (i, entry) in (0..).zip(&report.positions) {
        let mut to = list.reborrow().get(i);
        to.set_group(&**entry.group);
        to.set_term(entry.floor.term.0);
        to.set_lsn(entry.floor.lsn.0);
        to.set_age(entry.age);
    }
    let mut list = to.init_heard(list_length(report.heard.len()));
    for (i, state) in (0..).zip(&report.heard) {
        let mut to = list.reborrow().get(i);
        to.set_vm(&**state.vm);
        to.set_incarnation(state.incarnation);
        to.set_age(state.age);
        to.set_revision(state.revision);
        to.set_epoch(state.epoch);
    }
}

fn write_epoch(epoch: &event::Epoch, mut to: schema::epoch::Builder<'_>) {
    to.set_number(epoch.number);
    write_members(
        &epoch.members,
        to.reborrow().init_members(list_length(epoch.members.len())),
    );
    write_members(
        &epoch.former,
        to.init_former(list_length(epoch.former.len())),
    );
}

fn write_members(
    members: &[event::MemberId],
    mut to: capnp::struct_list::Builder<'_, schema::member::Owned>,
) {
    for (i, member) in (0..).zip(members) {
        let mut to = to.reborrow().get(i);
        to.set_vm(&**member.vm);
        to.set_incarnation(member.incarnation);
    }
}

fn write_vms(vms: &[event::Vm], mut to: capnp::struct_list::Builder<'_, schema::vm::Owned>) {
    for (i, vm) in (0..).zip(vms) {
        let mut to = to.reborrow().get(i);
        to.set_name(&**vm.name);
        to.set_domain(&**vm.domain);
        to.set_region(&**vm.region);
        to.set_peer(&*vm.peer);
        to.set_leaving(vm.leaving);
    }
}

fn write_resource(resource: &budget::Resource, mut to: schema::scarce::Builder<'_>) {
    match resource {
        budget::Resource::Rate(name) => to.set_rate(&***name),
        budget::Resource::Connections(name) => to.set_connections(&***name),
        budget::Resource::Warmup(name) => to.set_warmup(&***name),
    }
}

/// Decodes a message.
pub fn read(from: schema::message::Reader<'_>) -> Decoded<message::Message> {
    use schema::message::Which;
    Ok(match from.which()? {
        Which::Ping(from) => {
            let (sent, report) = read_exchange(from?)?;
            message::Message::Ping(sent, report)
        }
        Which::Pong(from) => {
            let (sent, report) = read_exchange(from?)?;
            message::Message::Pong(sent, report)
        }
        Which::Vms(from) => message::Message::Vms(read_vms(from?)?),
        Which::Fetch(after) => message::Message::FetchNotes(after),
        Which::Notes(from) => read_notes(from?)?,
        Which::Snapshot(from) => message::Message::Snapshot(sync::Arc::new(from_json(from?)?)),
        Which::Epoch(from) => message::Message::Epoch(read_epoch(from?)?),
        Which::Ask(from) => {
            let from = from?;
            message::Message::RequestTransfer(budget::TransferRequest {
                scarce: read_resource(from.get_scarce()?)?,
                epoch: from.get_epoch(),
                nonce: from.get_nonce(),
                units: from.get_units(),
                tokens: from.get_tokens(),
            })
        }
        Which::Give(from) => {
            let from = from?;
            message::Message::Transfer(budget::Transfer {
                scarce: read_resource(from.get_scarce()?)?,
                epoch: from.get_epoch(),
                nonce: from.get_nonce(),
                units: from.get_units(),
                tokens: from.get_tokens(),
            })
        }
        Which::Took(nonce) => message::Message::ConfirmTransfer(nonce),
        Which::Suspect(from) => {
            let from = from?;
            message::Message::SuspectPrimary(message::Suspicion {
                group: read_name(from.get_group()?)?,
                term: position::Term(from.get_term()),
            })
        }
        Which::Close(from) => message::Message::CloseLeader(read_claim(from?)?),
        Which::Closed(from) => {
            let from = from?;
            let acknowledged = position::Position {
                term: position::Term(from.get_term()),
                lsn: position::Lsn(from.get_lsn()),
            };
            message::Message::LeaderClosed(message::Closed {
                claim: read_claim(from)?,
                acknowledged: Some(acknowledged).filter(|_| from.get_counted()),
            })
        }
        Which::Follow(from) => {
            let from = from?;
            message::Message::ViewRequest(message::ViewRequest {
                sent: time::Time(from.get_sent()),
                known: from_json(from.get_known()?)?,
            })
        }
        Which::Passed(from) => {
            let from = from?;
            message::Message::ViewReply(message::ViewReply {
                sent: time::Time(from.get_sent()),
                parts: decompress_json(from.get_parts()?)?,
            })
        }
        Which::Changed(()) => message::Message::ViewChanged,
        Which::Cancel(from) => {
            let from = from?;
            message::Message::CancelStatement(from.get_process(), from.get_secret())
        }
    })
}

fn read_notes(from: schema::notes::Reader<'_>) -> Decoded<message::Message> {
    let mut notes = Vec::new();
    for note in from.get_notes()?.iter() {
        notes.push(sync::Arc::new(from_json(note?)?));
    }
    Ok(message::Message::Notes(from.get_after(), notes))
}

fn read_exchange(from: schema::exchange::Reader<'_>) -> Decoded<(time::Time, message::Report)> {
    let mut heard = Vec::new();
    for from in from.get_heard()?.iter() {
        heard.push(message::PeerState {
            vm: read_name(from.get_vm()?)?,
            incarnation: from.get_incarnation(),
            age: from.get_age(),
            revision: from.get_revision(),
            epoch: from.get_epoch(),
        });
    }
    let mut positions = Vec::new();
    for from in from.get_positions()?.iter() {
        positions.push(message::LeaderPosition {
            group: read_name(from.get_group()?)?,
            floor: position::Position {
                term: position::Term(from.get_term()),
                lsn: position::Lsn(from.get_lsn()),
            },
            age: from.get_age(),
        });
    }
    let mut common = Vec::new();
    for from in from.get_common()?.iter() {
        common.push(message::DomainState {
            domain: read_name(from.get_domain()?)?,
            age: from.get_age(),
            revision: from.get_revision(),
            epoch: from.get_epoch(),
        });
    }
    let report = message::Report {
        incarnation: from.get_incarnation(),
        revision: from.get_revision(),
        epoch: from.get_epoch(),
        listed: from.get_listed(),
        version: from.get_version(),
        list: from.get_list(),
        common,
        heard,
        positions,
    };
    Ok((time::Time(from.get_sent()), report))
}

fn read_epoch(from: schema::epoch::Reader<'_>) -> Decoded<event::Epoch> {
    Ok(event::Epoch {
        number: from.get_number(),
        members: read_members(from.get_members()?)?,
        former: read_members(from.get_former()?)?,
    })
}

fn read_members(
    from: capnp::struct_list::Reader<'_, schema::member::Owned>,
) -> Decoded<Vec<event::MemberId>> {
    let mut members = Vec::new();
    for from in from.iter() {
        members.push(event::MemberId {
            vm: read_name(from.get_vm()?)?,
            incarnation: from.get_incarnation(),
        });
    }
    Ok(members)
}

fn read_vms(from: capnp::struct_list::Reader<'_, schema::vm::Owned>) -> Decoded<Vec<event::Vm>> {
    let mut vms = Vec::new();
    for from in from.iter() {
        let peer = from.get_peer()?.to_str();
        vms.push(event::Vm {
            name: read_name(from.get_name()?)?,
            domain: read_name(from.get_domain()?)?,
            region: read_name(from.get_region()?)?,
            peer: peer.map_err(|_| failure::Failure::Malformed)?.into(),
            leaving: from.get_leaving(),
        });
    }
    Ok(vms)
}

fn read_resource(from: schema::scarce::Reader<'_>) -> Decoded<budget::Resource> {
    use schema::scarce::Which;
    Ok(match from.which()? {
        Which::Rate(text) => budget::Resource::Rate(read_name(text?)?),
        Which::Connections(text) => budget::Resource::Connections(read_name(text?)?),
        Which::Warmup(text) => budget::Resource::Warmup(read_name(text?)?),
    })
}
