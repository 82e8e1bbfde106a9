//! Compiles the files in `proto/` into the modules of generated code that are checked in.
//!
//! Run from the repository root: `cargo run --manifest-path tools/protogen/Cargo.toml`.

use anyhow::Context as _;

const PROTO_DIR: &str = "proto";
/// Source file, name of the generated file, and the module that it is copied to.
const MODULES: [(&str, &str, &str); 2] = [
    ("proto/peers.proto", "hibiscusdoor.peers.v1.rs", "src/peers/proto.rs"),
    ("proto/mesh.proto", "hibiscusdoor.mesh.v1.rs", "src/mesh/proto.rs"),
];

fn main() -> anyhow::Result<()> {
    let out_dir = std::env::temp_dir().join(format!("protogen-{}", std::process::id()));
    std::fs::create_dir_all(&out_dir)?;
    for (source, generated, target) in MODULES {
        let descriptors = protox::compile([source], [PROTO_DIR])
            .with_context(|| format!("compiling {source}"))?;
        tonic_prost_build::configure()
            .out_dir(&out_dir)
            .bytes(".")
            .compile_fds(descriptors)
            .context("generating code")?;
        std::fs::copy(out_dir.join(generated), target)
            .with_context(|| format!("writing {target}"))?;
    }
    std::fs::remove_dir_all(&out_dir)?;
    Ok(())
}
