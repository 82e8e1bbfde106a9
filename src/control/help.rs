//! Help texts of `hibiscusctl`.

/// General help, which `hibiscusctl --help` prints.
pub const USAGE: &str = "\
hibiscusctl: administers a fleet of hibiscusd nodes

Usage: hibiscusctl [--node ADDRESS]... [--json] COMMAND

Resources, each with the verbs list, show, create, change and withdraw:
  organisation        tenants with rate and burst
  key                 keys that callers present
  class               classes of work with their targets
  service             services that upstreams may announce
  route               paths, with the service and the class of each

Configuration as a whole:
  get                 print the accepted configuration
  apply FILE          replace the configuration by FILE
  check FILE          check a configuration file
  reference NAME      print the reference page of \"settings\", \"settings-mesh\" or \"configuration\"

Fleet:
  status              requests by outcome, refusals by reason, load by service
  nodes               the nodes, their revisions and leases
  upstreams           the upstreams, their load and limits
  state               the state dump of one node

Options:
  --node ADDRESS      operators' address of a node [default: 127.0.0.1:7003]; may be repeated:
                      each further address is tried when those before it fail
  --json              print JSON instead of text
  -h, --help          print this help, or that of COMMAND

Exit codes: 0 done, 1 failed, 2 wrong usage or input.
";

const ORGANISATION: &str = "\
hibiscusctl organisation: tenants with rate and burst

Usage:
  hibiscusctl organisation list
  hibiscusctl organisation show NAME
  hibiscusctl organisation create NAME --rate-per-s N --burst N
  hibiscusctl organisation change NAME [--rate-per-s N] [--burst N] [--revision N]
  hibiscusctl organisation withdraw NAME [--revision N]

Options:
  --rate-per-s N      requests a second over the whole fleet
  --burst N           requests that may arrive at once over the whole fleet
  --revision N        fail if the organisation changed after this revision
                      [default: the revision that the command reads first]

An organisation with keys cannot be withdrawn; withdraw its keys first.
";

const KEY: &str = "\
hibiscusctl key: keys that callers present

Usage:
  hibiscusctl key list
  hibiscusctl key show ID
  hibiscusctl key create ID --organisation NAME
  hibiscusctl key change ID [--organisation NAME] [--new-secret] [--revision N]
  hibiscusctl key withdraw ID [--revision N]

Options:
  --organisation NAME organisation that requests with the key are charged to
  --new-secret        generate a new secret; nodes refuse the old one within seconds
  --revision N        fail if the key changed after this revision
                      [default: the revision that the command reads first]

A new key <id>.<secret> is printed once; the fleet keeps only a keyed hash of it.
Nodes refuse a withdrawn key within seconds, on open connections too.
";

const CLASS: &str = "\
hibiscusctl class: classes of work with their targets

Usage:
  hibiscusctl class list
  hibiscusctl class show NAME
  hibiscusctl class create NAME --must-get-through FRACTION --answer-within-ms N
  hibiscusctl class change NAME [--must-get-through FRACTION] [--answer-within-ms N] [--revision N]
  hibiscusctl class withdraw NAME [--revision N]

Options:
  --must-get-through FRACTION   fraction of the requests that must get through, 0 to 1
  --answer-within-ms N          time after which an answer is no longer useful, in milliseconds
  --revision N                  fail if the class changed after this revision
                                [default: the revision that the command reads first]

The class with the larger fraction is more important; of two equal ones, the class with the
shorter time. Under overload, requests of less important classes are refused first.
";

const SERVICE: &str = "\
hibiscusctl service: services that upstreams may announce

Usage:
  hibiscusctl service list
  hibiscusctl service show NAME
  hibiscusctl service create NAME
  hibiscusctl service withdraw NAME [--revision N]

Options:
  --revision N        fail if the service changed after this revision
                      [default: the revision that the command reads first]
";

const ROUTE: &str = "\
hibiscusctl route: paths, with the service and the class of each

Usage:
  hibiscusctl route list
  hibiscusctl route show PREFIX
  hibiscusctl route create PREFIX --service NAME --class NAME [--open BOOL]
                           [--idempotency KIND]
  hibiscusctl route change PREFIX [--service NAME] [--class NAME] [--open BOOL]
                           [--idempotency KIND] [--revision N]
  hibiscusctl route withdraw PREFIX [--revision N]

Options:
  --service NAME      service that the requests are routed to
  --class NAME        class of the requests
  --open BOOL         true: no key is needed and no rate is charged [default: false]
  --idempotency KIND  which requests may run more than once: by_method, always or never
                      [default: by_method]
  --revision N        fail if the route changed after this revision
                      [default: the revision that the command reads first]

A request uses the route with the longest prefix that matches its path.
";

const GET: &str = "\
hibiscusctl get: prints the accepted configuration

Usage: hibiscusctl get

The output can be edited and passed to `apply`: it contains the revision that the edit starts
from, and the hash of each key.
";

const APPLY: &str = "\
hibiscusctl apply: replaces the configuration by a file

Usage: hibiscusctl apply FILE [--wait] [--timeout-s N]

Options:
  --wait              wait until the revision is in force on every node that accepts keys; after
                      the timeout, fail and name the nodes where it is not
  --timeout-s N       longest wait, in seconds [default: 30]

The file's revision must be the accepted one. Otherwise another edit came first, and the command
fails with a conflict that names both revisions and, if known, the resources that changed in
between. Print the accepted configuration with `get`.
";

const CHECK: &str = "\
hibiscusctl check: checks a configuration file without a node

Usage: hibiscusctl [--json] check FILE [--against FILE] [--calls FILE] [--memory-mb N]
                                       [--retry-ratio N]

All findings are printed, each with the file, the place in it, the expected and the found value.
Nothing is sent.

For a configuration in the form of the operators' platform, the findings include entries that can
never match and limits that contradict each other. These options are for this form only:
  --against FILE      also print the differences from FILE, the configuration in force; differences
                      are no findings
  --calls FILE        compare the time limits of nested calls: FILE is a JSON object with a list of
                      the routes that are called for each route that calls others
  --memory-mb N       compare the limits on requests with the memory of the smallest machine
  --retry-ratio N     retries per request that the platform's bound permits [default: 0.2]

Exit codes for this form: 0 no findings, 1 findings, 2 wrong usage or an unreadable file; for the
other form: 0 no findings, 2 findings or wrong usage.
";

const REFERENCE: &str = "\
hibiscusctl reference: prints a reference page

Usage: hibiscusctl reference settings|settings-mesh|configuration
";

const STATUS: &str = "\
hibiscusctl status: requests by outcome, refusals by reason, load by service

Usage: hibiscusctl [--json] status

Requests are counted from the start of each node.
";

const NODES: &str = "\
hibiscusctl nodes: the nodes, their revisions and leases

Usage: hibiscusctl [--json] nodes

The column \"row right\" shows whether the node's row lease is valid, \"keys\" whether its key lease
is: without a valid key lease a node accepts no keys.
";

const UPSTREAMS: &str = "\
hibiscusctl upstreams: the upstreams, their load and limits

Usage: hibiscusctl [--json] upstreams
";

const STATE: &str = "\
hibiscusctl state: the state dump of one node, in JSON

Usage: hibiscusctl state
";

/// Commands that have a help text.
pub const HELP_COMMANDS: [&str; 13] = [
    "organisation",
    "key",
    "class",
    "service",
    "route",
    "get",
    "apply",
    "check",
    "reference",
    "status",
    "nodes",
    "upstreams",
    "state",
];

/// Help of one command; none if there is no such command.
pub fn command_help(command: &str) -> Option<&'static str> {
    let text = match command {
        "organisation" => ORGANISATION,
        "key" => KEY,
        "class" => CLASS,
        "service" => SERVICE,
        "route" => ROUTE,
        "get" => GET,
        "apply" => APPLY,
        "check" => CHECK,
        "reference" => REFERENCE,
        "status" => STATUS,
        "nodes" => NODES,
        "upstreams" => UPSTREAMS,
        "state" => STATE,
        _ => return None,
    };
    Some(text)
}
