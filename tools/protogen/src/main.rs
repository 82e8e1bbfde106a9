//! Compiles `proto/peers.proto` into the committed module `src/peers/proto.rs`.
//!
//! Run from the repository root: `cargo run --manifest-path tools/protogen/Cargo.toml`.

use anyhow::Context as _;

const PROTO_DIR: &str = "proto";
const PROTO_FILE: &str = "proto/peers.proto";
const GENERATED: &str = "hibiscusdoor.peers.v1.rs";
const TARGET: &str = "src/peers/proto.rs";

fn main() -> anyhow::Result<()> {
    let descriptors =
        protox::compile([PROTO_FILE], [PROTO_DIR]).context("compiling proto/peers.proto")?;
    let out_dir = std::env::temp_dir().join(format!("protogen-{}", std::process::id()));
    std::fs::create_dir_all(&out_dir)?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .bytes(".")
        .compile_fds(descriptors)
        .context("generating code")?;
    std::fs::copy(out_dir.join(GENERATED), TARGET).context("writing src/peers/proto.rs")?;
    std::fs::remove_dir_all(&out_dir)?;
    Ok(())
}
