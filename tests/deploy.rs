//! The list of packages in the deploy file is well formed and repeated in the pages on building.

use std::fs::read_to_string;
use std::path::Path;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn packages() -> Vec<String> {
    let deploy = page("deploy/system.toml");
    let line = deploy.lines().find_map(|l| l.strip_prefix("packages = [")).expect("a list of packages");
    let names = line.strip_suffix(']').expect("the list stands on one line, as .ci/run reads it");
    names.split(", ").map(|n| n.trim_matches('"').to_string()).collect()
}

#[test]
fn given_the_deploy_file_when_read_then_packages_are_a_list_of_plain_names() {
    let names = packages();
    assert!(!names.is_empty());
    for name in &names {
        assert!(
            name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || "+-.".contains(c)),
            "\"{name}\" is no name of a Debian package"
        );
    }
}

#[test]
fn given_the_packages_of_the_deploy_file_then_readme_and_install_page_name_each() {
    for name in packages() {
        for file in ["README.md", "docs/operators/install.md"] {
            assert!(page(file).contains(&format!("`{name}`")), "{file} doesn't name {name}");
        }
    }
}

#[test]
fn given_the_locked_crates_then_none_compiles_c_or_assembler() {
    let lock = page("Cargo.lock");
    for tool in ["cc", "psm", "cmake", "pkg-config", "bindgen"] {
        assert!(
            !lock.contains(&format!("name = \"{tool}\"\n")),
            "{tool} is among the crates: list what it needs under packages, or drop the feature that brings it"
        );
    }
}
