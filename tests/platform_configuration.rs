//! The operators' configuration as the platform writes it.

use hibiscusdoor::{
    mesh::{CatalogParts, Dialect as _},
    platform::OperatorsPlatform,
};
use serde_json::json;

fn read_with_kind(kind: &str) -> Result<CatalogParts, String> {
    let route = |name: &str, kind: &str| {
        json!({
            "resourceType": "routes",
            "metadata": { "name": name },
            "spec": {
                "host": "yard.example", "pathPrefix": format!("/{name}/"), "kind": kind,
                "timeout": "2000ms", "service": "records", "maxAttempts": 2,
            },
        })
    };
    let document = json!({ "version": 1, "resources": [route("a", kind), route("b", "safe")] });
    OperatorsPlatform::catalog(&document, 1)
}

macro_rules! kinds {
    ($($name:ident: $kind:literal is idempotent $idempotent:literal;)*) => {
        $(
            /// Guards against a configuration that is rejected as a whole for the kind of one route, and
            /// against repeats of a request of a kind that does not permit them.
            #[test]
            fn $name() {
                let parts = read_with_kind($kind).expect("the configuration is accepted");
                let idempotent: Vec<bool> = parts.routes.iter().map(|it| it.idempotent).collect();
                assert_eq!(idempotent, [$idempotent, true]);
            }
        )*
    };
}

kinds! {
    safe_requests_may_be_repeated: "safe" is idempotent true;
    unsafe_requests_run_at_most_once: "unsafe" is idempotent false;
    uploads_run_at_most_once: "upload" is idempotent false;
    requests_of_an_unknown_kind_run_at_most_once: "batch" is idempotent false;
}
