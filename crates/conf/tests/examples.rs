//! The files of the example deployments must be valid and consistent with each other.
//!
//! All settings files of a site must have the same zones, every block must belong to a known
//! place, and the snapshots show the resulting sites.

use std::fs;
use std::path::{Path, PathBuf};

use conf::{Role, Settings, parse_blocks, parse_lists, parse_settings};
use rstest::rstest;
use steer::{Blocks, Places};

fn site_dir(site: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(site)
}

fn read_file(site: &str, file: &str) -> String {
    fs::read_to_string(site_dir(site).join(file)).expect("file")
}

fn vm_settings(site: &str) -> Vec<Settings> {
    let files = fs::read_dir(site_dir(site)).expect("folder");
    let names = files.map(|f| f.expect("entry").file_name().into_string().expect("name"));
    let is_vm = |name: &String| name.starts_with("entry-") || name.starts_with("control-");
    let mut names: Vec<String> = names.filter(is_vm).collect();
    names.sort();
    let parse = |name: &String| parse_settings(name, &read_file(site, name)).expect("settings");
    names.iter().map(parse).collect()
}

#[rstest]
#[case("brana")]
#[case("tolkeleht")]
fn example_deployment(#[case] site: &str) {
    let vms = vm_settings(site);
    let customers = read_file(site, "customers.jsonc");
    let plans = read_file(site, "plans.jsonc");
    let lists = parse_lists(("customers.jsonc", &customers), ("plans.jsonc", &plans));
    let lists = lists.expect("lists");
    let block_lists =
        parse_blocks("blocks.jsonc", &read_file(site, "blocks.jsonc")).expect("blocks");
    assert!(vms.windows(2).all(|pair| pair[0].zones == pair[1].zones));
    let places = Places::new(&vms[0].zones);
    let blocks = Blocks::new(&places, &block_lists).expect("blocks");
    let mut rows: Vec<String> = vms
        .iter()
        .map(|vm| format!("{} in {}/{}", vm.name, vm.place.region, vm.place.domain))
        .collect();
    let entry_count = vms
        .iter()
        .filter(|vm| vm.roles.contains(&Role::Entry))
        .count();
    let link_count = vms[0].zones.links.len();
    rows.push(format!(
        "{entry_count} entry VMs, {link_count} links, {} blocks",
        blocks.len()
    ));
    for client in [
        "100.64.0.1",
        "100.64.128.1",
        "100.69.0.1",
        "2001:db8:3000::1",
        "192.0.2.1",
    ] {
        let home = blocks.home(client.parse().expect("address"));
        let home = home.map(|id| places.place(id));
        let home = home.map_or("-".into(), |p| format!("{}/{}", p.region, p.domain));
        rows.push(format!("{client} at home in {home}"));
    }
    for plan in &lists.plans {
        let uses: Vec<&str> = plan.uses.iter().map(|u| u.service.as_str()).collect();
        rows.push(format!(
            "{} {}: {}",
            plan.name,
            plan.priority,
            uses.join(" ")
        ));
    }
    insta::assert_snapshot!(site, rows.join("\n"));
}
