//! Tenants and their API keys.

use baobabreel_core::tenants::{Tenant, TenantTable, digest_key};

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Tenant { name: name.into(), keys, class: None, quota: None }
}

/// Guards against a key that is taken for a removed one, though another tenant has it now.
#[test]
fn moved_key_is_found_by_its_digest() {
    let tenants = [tenant("one", &["k-one"]), tenant("two", &["k-two", "k-move"])];
    let table = TenantTable::new(tenants).expect("no key is shared");
    let owner = |key| table.find_digest(digest_key(key)).map(|found| found.name.clone());
    assert_eq!(owner("k-move").as_deref(), Some("two"));
    assert_eq!(owner("k-one").as_deref(), Some("one"));
    assert_eq!(owner("k-gone"), None);
}
