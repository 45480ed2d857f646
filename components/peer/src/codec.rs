//! Conversion between kernel messages and their wire form.

use std::{io::Read, sync};

use config::Name;
use flate2::{Compression, read};
use kernel::{budget, event, message, position, time};

use crate::{failure, peer_capnp as schema};

type Outcome<T> = Result<T, failure::Failure>;

fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn name(text: capnp::text::Reader<'_>) -> Outcome<Name> {
    let text = text.to_str().map_err(|_| failure::Failure::Malformed)?;
    Name::try_from(text).map_err(|_| failure::Failure::Malformed)
}

fn json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Outcome<T> {
    serde_json::from_slice(bytes).map_err(|_| failure::Failure::Malformed)
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Longest JSON that is taken out of a deflated field, in bytes: all parts of the
/// store of a few thousand VMs.
const INFLATED_LIMIT: u64 = 64 << 20;

/// JSON below this size, in bytes, travels as it is: deflating costs more.
const DEFLATED_SIZE: usize = 512;
/// First byte of JSON that travels as it is.
const PLAIN: u8 = 0;
/// First byte of deflated JSON.
const DEFLATED: u8 = 1;

fn unpack<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Outcome<T> {
    match bytes {
        [PLAIN, text @ ..] => json(text),
        [DEFLATED, packed @ ..] => {
            let mut text = Vec::new();
            let mut decoder = read::DeflateDecoder::new(packed).take(INFLATED_LIMIT);
            let done = decoder.read_to_end(&mut text);
            done.map_err(|_| failure::Failure::Malformed)?;
            json(&text)
        }
        _ => Err(failure::Failure::Malformed),
    }
}

fn pack<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let text = to_json(value);
    if text.len() >= DEFLATED_SIZE {
        let mut packed = vec![DEFLATED];
        let mut encoder = read::DeflateEncoder::new(&text[..], Compression::fast());
        match encoder.read_to_end(&mut packed) {
            Ok(_) => return packed,
            Err(error) => log::error!("a message could not be deflated: {error}"),
        }
    }
    let mut plain = vec![PLAIN];
    plain.extend(text);
    plain
}

/// Bytes of a message on the wire, without the frame of the call.
pub fn encoded_size(message: &message::Message) -> usize {
    let mut builder = capnp::message::Builder::new_default();
    write(message, builder.init_root());
    capnp::serialize::compute_serialized_size_in_words(&builder) * 8
}

/// Writes a message.
pub fn write(message: &message::Message, mut to: schema::message::Builder<'_>) {
    match message {
        message::Message::Ping(sent, report) => write_exchange(*sent, report, to.init_ping()),
        message::Message::Pong(sent, report) => write_exchange(*sent, report, to.init_pong()),
        message::Message::Vms(vms) => write_vms(vms, to.init_vms(length(vms.len()))),
        message::Message::FetchNotes(after) => to.set_fetch(*after),
        message::Message::Notes(after, notes) => {
            let mut to = to.init_notes();
            to.set_after(*after);
            let mut list = to.init_notes(length(notes.len()));
            for (i, note) in (0..).zip(notes) {
                list.set(i, &to_json(note));
            }
        }
        message::Message::Snapshot(head) => to.set_snapshot(&to_json(head)),
        message::Message::Epoch(epoch) => write_epoch(epoch, to.init_epoch()),
        message::Message::RequestTransfer(ask) => {
            let mut to = to.init_ask();
            to.set_epoch(ask.epoch);
            to.set_nonce(ask.nonce);
            to.set_units(ask.units);
            to.set_tokens(ask.tokens);
            write_scarce(&ask.scarce, to.init_scarce());
        }
        message::Message::Transfer(give) => {
            let mut to = to.init_give();
            to.set_epoch(give.epoch);
            to.set_nonce(give.nonce);
            to.set_units(give.units);
            to.set_tokens(give.tokens);
            write_scarce(&give.scarce, to.init_scarce());
        }
        message::Message::ConfirmTransfer(nonce) => to.set_took(*nonce),
        message::Message::SuspectPrimary(suspicion) => {
            let mut to = to.init_suspect();
            to.set_group(&**suspicion.group);
            to.set_term(suspicion.term.0);
        }
        message::Message::CloseLeader(claim) => write_claim(claim, to.init_close()),
        message::Message::LeaderClosed(claim) => write_claim(claim, to.init_closed()),
        message::Message::ViewRequest(follow) => {
            let mut to = to.init_follow();
            to.set_sent(follow.sent.0);
            to.set_known(&to_json(&follow.known));
        }
        message::Message::ViewReply(passed) => {
            let mut to = to.init_passed();
            to.set_sent(passed.sent.0);
            to.set_parts(&pack(&passed.parts));
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

fn read_claim(from: schema::claim::Reader<'_>) -> Outcome<message::Claim> {
    Ok(message::Claim {
        group: name(from.get_group()?)?,
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
    let count = length(report.common.len());
    let mut list = to.reborrow().init_common(count);
    for (i, common) in (0..).zip(&report.common) {
        let mut to = list.reborrow().get(i);
        to.set_domain(&**common.domain);
        to.set_age(common.age);
        to.set_revision(common.revision);
        to.set_epoch(common.epoch);
    }
    let count = length(report.positions.len());
    let mut list = to.reborrow().init_positions(count);
    for (i, placed) in (0..).zip(&report.positions) {
        let mut to = list.reborrow().get(i);
        to.set_group(&**placed.group);
        to.set_term(placed.floor.term.0);
        to.set_lsn(placed.floor.lsn.0);
        to.set_age(placed.age);
    }
    let mut list = to.init_heard(length(report.heard.len()));
    for (i, heard) in (0..).zip(&report.heard) {
        let mut to = list.reborrow().get(i);
        to.set_vm(&**heard.vm);
        to.set_incarnation(heard.incarnation);
        to.set_age(heard.age);
        to.set_revision(heard.revision);
        to.set_epoch(heard.epoch);
    }
}

fn write_epoch(epoch: &event::Epoch, mut to: schema::epoch::Builder<'_>) {
    to.set_number(epoch.number);
    write_members(
        &epoch.members,
        to.reborrow().init_members(length(epoch.members.len())),
    );
    write_members(&epoch.former, to.init_former(length(epoch.former.len())));
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

fn write_scarce(scarce: &budget::Resource, mut to: schema::scarce::Builder<'_>) {
    match scarce {
        budget::Resource::Rate(name) => to.set_rate(&***name),
        budget::Resource::Connections(name) => to.set_connections(&***name),
    }
}

/// Reads a message.
pub fn read(from: schema::message::Reader<'_>) -> Outcome<message::Message> {
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
        Which::Snapshot(from) => message::Message::Snapshot(sync::Arc::new(json(from?)?)),
        Which::Epoch(from) => message::Message::Epoch(read_epoch(from?)?),
        Which::Ask(from) => {
            let from = from?;
            message::Message::RequestTransfer(budget::TransferRequest {
                scarce: read_scarce(from.get_scarce()?)?,
                epoch: from.get_epoch(),
                nonce: from.get_nonce(),
                units: from.get_units(),
                tokens: from.get_tokens(),
            })
        }
        Which::Give(from) => {
            let from = from?;
            message::Message::Transfer(budget::Transfer {
                scarce: read_scarce(from.get_scarce()?)?,
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
                group: name(from.get_group()?)?,
                term: position::Term(from.get_term()),
            })
        }
        Which::Close(from) => message::Message::CloseLeader(read_claim(from?)?),
        Which::Closed(from) => message::Message::LeaderClosed(read_claim(from?)?),
        Which::Follow(from) => {
            let from = from?;
            message::Message::ViewRequest(message::ViewRequest {
                sent: time::Time(from.get_sent()),
                known: json(from.get_known()?)?,
            })
        }
        Which::Passed(from) => {
            let from = from?;
            message::Message::ViewReply(message::ViewReply {
                sent: time::Time(from.get_sent()),
                parts: unpack(from.get_parts()?)?,
            })
        }
        Which::Changed(()) => message::Message::ViewChanged,
        Which::Cancel(from) => {
            let from = from?;
            message::Message::CancelStatement(from.get_process(), from.get_secret())
        }
    })
}

fn read_notes(from: schema::notes::Reader<'_>) -> Outcome<message::Message> {
    let mut notes = Vec::new();
    for note in from.get_notes()?.iter() {
        notes.push(sync::Arc::new(json(note?)?));
    }
    Ok(message::Message::Notes(from.get_after(), notes))
}

fn read_exchange(from: schema::exchange::Reader<'_>) -> Outcome<(time::Time, message::Report)> {
    let mut heard = Vec::new();
    for from in from.get_heard()?.iter() {
        heard.push(message::PeerState {
            vm: name(from.get_vm()?)?,
            incarnation: from.get_incarnation(),
            age: from.get_age(),
            revision: from.get_revision(),
            epoch: from.get_epoch(),
        });
    }
    let mut positions = Vec::new();
    for from in from.get_positions()?.iter() {
        positions.push(message::LeaderPosition {
            group: name(from.get_group()?)?,
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
            domain: name(from.get_domain()?)?,
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

fn read_epoch(from: schema::epoch::Reader<'_>) -> Outcome<event::Epoch> {
    Ok(event::Epoch {
        number: from.get_number(),
        members: read_members(from.get_members()?)?,
        former: read_members(from.get_former()?)?,
    })
}

fn read_members(
    from: capnp::struct_list::Reader<'_, schema::member::Owned>,
) -> Outcome<Vec<event::MemberId>> {
    let mut members = Vec::new();
    for from in from.iter() {
        members.push(event::MemberId {
            vm: name(from.get_vm()?)?,
            incarnation: from.get_incarnation(),
        });
    }
    Ok(members)
}

fn read_vms(from: capnp::struct_list::Reader<'_, schema::vm::Owned>) -> Outcome<Vec<event::Vm>> {
    let mut vms = Vec::new();
    for from in from.iter() {
        let peer = from.get_peer()?.to_str();
        vms.push(event::Vm {
            name: name(from.get_name()?)?,
            domain: name(from.get_domain()?)?,
            region: name(from.get_region()?)?,
            peer: peer.map_err(|_| failure::Failure::Malformed)?.into(),
            leaving: from.get_leaving(),
        });
    }
    Ok(vms)
}

fn read_scarce(from: schema::scarce::Reader<'_>) -> Outcome<budget::Resource> {
    use schema::scarce::Which;
    Ok(match from.which()? {
        Which::Rate(text) => budget::Resource::Rate(name(text?)?),
        Which::Connections(text) => budget::Resource::Connections(name(text?)?),
    })
}
