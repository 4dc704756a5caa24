//! The client against a stand-in for the store that can lose its responses or be down.

use std::time::Duration;

use smol_str::SmolStr;
use vanillacleat_control::entry::{EntryPresence, HomeClaim, NameBinding, PlatformOp, PlatformReply, StoreVersion};
use vanillacleat_core::config::ConfigValue;
use vanillacleat_core::ids::{HomeKey, Incarnation};
use vanillacleat_core::ticket::TicketSecret;
use vanillacleat_core::units::{Generation, Revision};
use vanillacleat_etcd_gateway::{PlatformClient, PlatformOptions};
use vanillacleat_standin::{PlatformFaults, PlatformStandin};

async fn start_store() -> (PlatformStandin, std::sync::Arc<PlatformClient>) {
    let store = PlatformStandin::start().await.unwrap();
    let addresses = vec![SmolStr::new(format!("http://{}", store.address))];
    let client = PlatformClient::new(PlatformOptions { addresses, call_timeout: Duration::from_secs(5), ..PlatformOptions::default() });
    while client.execute(PlatformOp::ReadConfig).await == PlatformReply::Failed {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (store, client)
}

fn make_home(name: &str) -> HomeKey {
    HomeKey { entry: name.parse().unwrap(), incarnation: Incarnation(3) }
}

fn make_value(revision: u64) -> Box<ConfigValue> {
    Box::new(ConfigValue { revision: Revision(revision), ..ConfigValue::default() })
}

#[tokio::test]
async fn outdated_config_write_is_rejected() {
    let (_store, client) = start_store().await;
    assert_eq!(client.execute(PlatformOp::ReadConfig).await, PlatformReply::Config(StoreVersion(0), None));
    let write = PlatformOp::WriteConfig(StoreVersion(0), make_value(1));
    assert_eq!(client.execute(write.clone()).await, PlatformReply::Written);
    assert_eq!(client.execute(write).await, PlatformReply::Outdated);
    let PlatformReply::Config(version, Some(value)) = client.execute(PlatformOp::ReadConfig).await else {
        panic!("the configuration was not read");
    };
    assert_eq!(value.revision, Revision(1));
    assert_eq!(client.execute(PlatformOp::WriteConfig(version, make_value(2))).await, PlatformReply::Written);
}

#[tokio::test]
async fn lost_answer_took_effect() {
    let (store, client) = start_store().await;
    store.set_faults(PlatformFaults { lose_answer_every: 1, ..PlatformFaults::default() });
    let home = make_home("entry-a");
    let claim = HomeClaim { owner: make_home("entry-b"), address: SmolStr::new("127.0.0.1:1"), generation: Generation(1) };
    let write = PlatformOp::WriteClaim(home.clone(), StoreVersion(0), claim.clone());
    assert_eq!(client.execute(write).await, PlatformReply::Failed);
    let PlatformReply::Claim(_, stored) = client.execute(PlatformOp::ReadClaim(home)).await else {
        panic!("the claim was not read");
    };
    assert_eq!(stored, Some(claim));
}

#[tokio::test]
async fn names_are_bound_once() {
    let (_store, client) = start_store().await;
    let secret = TicketSecret::new(b"key");
    let bind = |name: &str, serial| NameBinding { name: name.parse().unwrap(), ticket: secret.sign(make_home("entry-a"), serial) };
    let first = client.execute(PlatformOp::BindNames(vec![bind("lot-1", 1), bind("lot-2", 2)])).await;
    assert_eq!(first, PlatformReply::Names(vec![bind("lot-1", 1).ticket, bind("lot-2", 2).ticket]));
    let second = client.execute(PlatformOp::BindNames(vec![bind("lot-2", 9), bind("lot-3", 3)])).await;
    assert_eq!(second, PlatformReply::Names(vec![bind("lot-2", 2).ticket, bind("lot-3", 3).ticket]));
}

#[tokio::test]
async fn calls_fail_during_an_outage_and_resume_after_it() {
    let (store, client) = start_store().await;
    let presence =
        |name: &str| EntryPresence { home: make_home(name), zone: "burgos".parse().unwrap(), address: SmolStr::new("127.0.0.1:1") };
    let entries = client.execute(PlatformOp::Announce(presence("entry-a"))).await;
    assert_eq!(entries, PlatformReply::Entries(vec![presence("entry-a")]));
    store.set_faults(PlatformFaults { is_down: true, ..PlatformFaults::default() });
    assert_eq!(client.execute(PlatformOp::ReadConfig).await, PlatformReply::Failed);
    store.set_faults(PlatformFaults::default());
    let calls = store.calls();
    assert_eq!(client.execute(PlatformOp::Announce(presence("entry-a"))).await, entries);
    assert_eq!(store.calls() - calls, 2, "one call renews the lease and one reads the entries");
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_not_sent() {
    let store = PlatformStandin::start().await.unwrap();
    let addresses = vec![SmolStr::new(format!("http://{}", store.address))];
    let client = PlatformClient::new(PlatformOptions { addresses, calls_per_second: 0.0, ..PlatformOptions::default() });
    assert_eq!(client.execute(PlatformOp::ReadConfig).await, PlatformReply::Failed);
    assert_eq!(store.calls(), 0);
}
