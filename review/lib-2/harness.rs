//! Runs one case of the second review: starts the project's programs as separate processes on
//! loopback addresses, plays the platform, the operator, the engines and the clients, and checks one
//! rule by what these have seen.
//!
//! Usage: `harness CASE RECORD`. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod world;

use std::process::exit;
use std::time::Duration;

/// Time after which a run that has not ended counts as one that could not run.
const MAX_RUN_TIME: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = match world::World::new(record) {
        Ok(world) => world,
        Err(cause) => {
            eprintln!("cannot set up: {cause}");
            exit(2);
        }
    };
    world.log(&format!("case {case}, trouble {}", u8::from(trouble)));
    let watched = world.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN_TIME);
        watched.log("the run takes too long");
        watched.end();
        exit(2);
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "6" => cases::planned_replacements(&world, trouble),
        "7" => cases::first_acknowledgement(&world, trouble),
        "8" => cases::shrunk_cluster(&world, trouble),
        "displaced" => cases::displaced_voter(&world, trouble),
        "9" => cases::first_keys(&world, trouble),
        "10" => cases::revoked_key(&world, trouble),
        _ => Err(format!("there is no case {case}")),
    });
    world.end();
    let status = match result {
        Ok(Ok(None)) => {
            world.log("the rule held");
            0
        }
        Ok(Ok(Some(broken))) => {
            world.log(&format!("the rule was broken: {broken}"));
            1
        }
        Ok(Err(cause)) => {
            world.log(&format!("the case could not run: {cause}"));
            2
        }
        Err(_) => {
            world.log("the case could not run: the harness failed");
            2
        }
    };
    exit(status);
}
