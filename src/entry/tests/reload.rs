//! Settings files that change while a host runs.

use super::site::{on_site, settings};
use crate::entry::run::reload;
use crate::entry::settings::EntrySettings;
use std::net::SocketAddr;
use std::path::Path;

fn write(path: &Path, settings: &EntrySettings) {
    let text = toml::to_string(settings).expect("settings are TOML");
    std::fs::write(path, text).expect("a file");
}

#[test]
fn changed_bounds_and_store_take_effect_but_listen_addresses_stay() {
    on_site(|site| async move {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("entry.toml");
        let mut changed = settings(site.address);
        changed.bounds.retry_slack = 7.0;
        changed.store = SocketAddr::from(([127, 0, 0, 1], 4_242));
        changed.caller_listen = SocketAddr::from(([127, 0, 0, 1], 4_243));
        write(&path, &changed);
        let reconnected = std::cell::Cell::new(None);
        reload(&site.host, &path, &|_, settings: &EntrySettings| {
            reconnected.set(Some(settings.store))
        });
        let now = site.host.settings();
        assert_eq!(now.bounds.retry_slack, 7.0);
        assert_eq!(reconnected.get(), Some(changed.store));
        assert_eq!(now.caller_listen, site.address);
    });
}

#[test]
fn invalid_settings_change_nothing() {
    on_site(|site| async move {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("entry.toml");
        let before = site.host.settings();
        let never = |_: &_, _: &EntrySettings| panic!("the store has not changed");
        reload(&site.host, &path, &never);
        std::fs::write(&path, "name = ").expect("a file");
        reload(&site.host, &path, &never);
        let mut wrong = settings(site.address);
        wrong.bounds.stop_s = 0.0;
        write(&path, &wrong);
        reload(&site.host, &path, &never);
        assert_eq!(site.host.settings(), before);
    });
}
