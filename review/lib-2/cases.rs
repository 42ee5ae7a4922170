//! The cases. Each returns what broke the rule, or `None` if it held.

use std::time::Duration;
use std::time::Instant;

use crate::world::SIGCONT;
use crate::world::SIGSTOP;
use crate::world::World;
use crate::world::configuration;

/// Bounds of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVER: Duration = Duration::from_secs(12);
const CONTACT: Duration = Duration::from_secs(4);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// Time for which machines that lose their disks are down.
const DOWN: Duration = Duration::from_millis(1_500);

/// Number of the configuration that is acknowledged last.
const NEWEST: u64 = 9;

/// Returns the value of the tenants of a configuration: two with one key each.
fn tenants(north: &str, south: &str) -> String {
    let tenant =
        |name: &str, key: &str| format!("{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"]}}");
    format!("[{},{}]", tenant("north", north), tenant("south", south))
}

/// Returns the tenants of the first configuration of most cases.
fn first_tenants() -> String {
    tenants("key-north-1", "key-south-1")
}

type Outcome = Result<Option<String>, String>;

fn sleep(time: Duration) {
    std::thread::sleep(time);
}

/// Reads the configuration back once all machines are back and `recover-s` is over, and sends
/// requests. `version` is the newest acknowledged one.
fn check_recovered(world: &World, version: u64) -> Outcome {
    world.log("all machines are back");
    sleep(CATCH_UP + RECOVER);
    world.log("catch-up-s and recover-s are over");
    let read = world.read_for(2 * CONTACT);
    let entry = world.ip(101);
    let served = (0..10)
        .filter(|_| world.request(&entry, "/settle/x", "key-north-1").1 == Some(200))
        .count();
    match read {
        Some(read) if read >= version => Ok(None),
        read => Ok(Some(format!(
            "version {version} was acknowledged, the newest version read is {read:?}; {served} of \
             10 requests are served"
        ))),
    }
}

/// Starts all processes, with an acknowledged configuration, and waits until no machine counts as new.
/// Returns the addresses of the control replicas.
fn start_settled(world: &World) -> Result<[String; 5], String> {
    world.start_all()?;
    world.start_engine(1)?;
    world.put(7, &configuration(7, &first_tenants()), Duration::from_secs(10))?;
    world.wait_ready()?;
    sleep(CATCH_UP + Duration::from_secs(1));
    let controls = world.controls().try_into();
    controls.map_err(|_| "there are not five control replicas".to_owned())
}

/// Has the newest configuration acknowledged, and checks that requests are served.
fn acknowledge_newest(world: &World) -> Result<(), String> {
    world.put(NEWEST, &configuration(NEWEST, &first_tenants()), Duration::from_secs(5))?;
    let (_, status) = world.request(&world.ip(101), "/settle/x", "key-north-1");
    let served = status == Some(200);
    served.then_some(()).ok_or("a request before the last loss is not served".to_owned())
}

/// Two machines lose their power and their disks at the same time, and start again.
fn lose_disks(world: &World, lost: [&str; 2]) -> Result<(), String> {
    world.kill(&lost, true);
    sleep(DOWN);
    lost.iter().try_for_each(|ip| world.restart(ip))
}

/// Two machines are replaced as planned, the new ones first. When the new ones have long caught up, two
/// machines lose their disks.
pub fn planned_replacements(world: &World, trouble: bool) -> Outcome {
    let [first, second, third, fourth, fifth] = start_settled(world)?;
    if trouble {
        let seeds = [third.clone(), fourth.clone(), fifth.clone()];
        world.add_control(6, &seeds)?;
        world.add_control(7, &seeds)?;
        sleep(Duration::from_secs(2));
        world.remove(&[&first, &second])?;
        sleep(CATCH_UP + Duration::from_secs(2));
    }
    acknowledge_newest(world)?;
    if trouble {
        lose_disks(world, [&third, &fourth])?;
    }
    check_recovered(world, NEWEST)
}

/// The first configuration is acknowledged, and two machines lose their disks right after it.
pub fn first_acknowledgement(world: &World, trouble: bool) -> Outcome {
    world.start_all()?;
    world.start_engine(1)?;
    world.put(7, &configuration(7, &first_tenants()), Duration::from_secs(10))?;
    if trouble {
        lose_disks(world, [&world.ip(2), &world.ip(3)])?;
    }
    check_recovered(world, 7)
}

/// One machine is down and another one loses its disk and stands still after its return. After both
/// the second is long back, two others lose their disks while the first is still down.
pub fn shrunk_cluster(world: &World, trouble: bool) -> Outcome {
    let [first, second, third, _, down] = start_settled(world)?;
    if trouble {
        world.kill(&[&down], false);
        sleep(Duration::from_millis(2_500));
        world.kill(&[&first], true);
        sleep(Duration::from_secs(1));
        world.restart(&first)?;
        sleep(Duration::from_millis(300));
        world.signal(&first, SIGSTOP);
        sleep(Duration::from_millis(2_500));
        world.signal(&first, SIGCONT);
        sleep(CATCH_UP + Duration::from_millis(1_500));
    }
    acknowledge_newest(world)?;
    if trouble {
        lose_disks(world, [&second, &third])?;
        world.restart(&down)?;
    }
    check_recovered(world, NEWEST)
}

/// One machine is down, and another one is removed for good and replaced by an empty one. After that
/// one has long caught up, two others lose their disks while the first is still down.
pub fn displaced_voter(world: &World, trouble: bool) -> Outcome {
    let [removed, second, third, fourth, down] = start_settled(world)?;
    if trouble {
        world.kill(&[&down], false);
        sleep(Duration::from_millis(2_500));
        world.kill(&[&removed], false);
        sleep(Duration::from_secs(1));
        world.add_control(6, &[second.clone(), third.clone(), fourth])?;
        sleep(CATCH_UP + Duration::from_millis(1_500));
    }
    acknowledge_newest(world)?;
    if trouble {
        lose_disks(world, [&second, &third])?;
        world.restart(&down)?;
    }
    check_recovered(world, NEWEST)
}

/// Checks that the engines got a request with the tenant of its key, and without the key.
fn check_run(world: &World, id: &str, tenant: Option<&str>, key: &str) -> Option<String> {
    world.runs(id).iter().find_map(|run| {
        let passed_on = run.header("Authorization:").filter(|value| value.contains(key));
        if let Some(value) = passed_on {
            return Some(format!("{id} ran at {} with Authorization: {value}", run.path));
        }
        let sent = run.header("Tenant:");
        (sent != tenant).then(|| format!("{id} ran with Tenant {sent:?}, not {tenant:?}"))
    })
}

/// The first tenants are configured while an entry stands still.
pub fn first_keys(world: &World, trouble: bool) -> Outcome {
    world.start_all()?;
    world.start_engine(1)?;
    world.start_engine(2)?;
    world.put(7, &configuration(7, ""), Duration::from_secs(10))?;
    world.wait_ready()?;
    sleep(Duration::from_secs(2));
    let entry = world.ip(101);
    if trouble {
        world.signal(&entry, SIGSTOP);
    }
    let stopped = Instant::now();
    world.put(9, &configuration(9, &first_tenants()), Duration::from_secs(5))?;
    sleep(CONFIG_APPLY + Duration::from_millis(400));
    let (caller, target) = (world.clone(), entry.clone());
    let sending = std::thread::spawn(move || caller.request(&target, "/settle/x", "key-north-1"));
    sleep(Duration::from_millis(200));
    let (other, status) = world.request(&world.ip(102), "/settle/x", "key-north-1");
    if status != Some(200) || check_run(world, &other, Some("north"), "key-north-1").is_some() {
        return Err("the other entry does not serve the key".to_owned());
    }
    if trouble {
        world.signal(&entry, SIGCONT);
        world.log(&format!("the entry stood still for {:?}", stopped.elapsed()));
    }
    let (id, _) = sending.join().map_err(|_| "the client failed")?;
    Ok(check_run(world, &id, Some("north"), "key-north-1"))
}

/// A key is taken away, an entry is killed and starts again, and the client goes on with its key.
pub fn revoked_key(world: &World, trouble: bool) -> Outcome {
    world.start_all()?;
    world.start_engine(1)?;
    world.start_engine(2)?;
    world.put(7, &configuration(7, &first_tenants()), Duration::from_secs(10))?;
    world.wait_ready()?;
    sleep(Duration::from_secs(2));
    let entry = world.ip(101);
    let (before, _) = world.request(&entry, "/open/x", "key-south-1");
    if let Some(broken) = check_run(world, &before, None, "key-south-1") {
        return Ok(Some(broken));
    }
    let changed = tenants("key-north-1", "key-south-2");
    world.put(9, &configuration(9, &changed), Duration::from_secs(5))?;
    sleep(CONFIG_APPLY);
    if trouble {
        world.kill(&[&entry], false);
        sleep(Duration::from_millis(500));
        world.restart(&entry)?;
    }
    world.wait_ready_at(&entry)?;
    sleep(CONTACT + Duration::from_secs(1));
    let (id, _) = world.request(&entry, "/open/x", "key-south-1");
    Ok(check_run(world, &id, None, "key-south-1"))
}
