//! `hickoryreel-standin`: runs a stand-in endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use bpaf::Parser;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_standin::announce::Identity;
use hickoryreel_standin::engine;
use hickoryreel_standin::rater;
use hickoryreel_standin::service;
use hickoryreel_standin::weights;

/// Runs a stand-in endpoint of hickoryreel.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// Runs a model engine
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        identity: Identity,
        /// Version to serve; may be repeated
        #[bpaf(argument("MODEL/LABEL"), some("at least one version is needed"))]
        version: Vec<Version>,
        /// Milliseconds between two tokens
        #[bpaf(argument("MS"), fallback(5.0))]
        token_ms: f64,
        /// Requests that fit into the running batch
        #[bpaf(argument("COUNT"), fallback(32))]
        slots: u32,
        /// Prompt bytes prefilled per second; 0 makes prefilling free
        #[bpaf(argument("BYTES"), fallback(0.0))]
        prefill: f64,
        /// Refuse orders with an outdated fencing token
        checks_fence: bool,
        /// Address of the weight store that a load order reads from
        #[bpaf(argument("ADDRESS:PORT"))]
        weights: Option<SocketAddr>,
    },
    /// Prints free ports, one a line
    #[bpaf(command)]
    Ports {
        /// Number of ports
        #[bpaf(positional("COUNT"))]
        count: usize,
    },
    /// Runs an instance of a plain service
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        identity: Identity,
        /// Name of the service
        #[bpaf(argument("NAME"))]
        service: Service,
        /// Milliseconds for one call
        #[bpaf(argument("MS"), fallback(0))]
        call_ms: u64,
    },
    /// Runs a rater that rates a sample of the answers after a delay
    #[bpaf(command)]
    Rater {
        /// Address to listen on
        #[bpaf(argument("ADDRESS:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Milliseconds from an answer to its rating
        #[bpaf(argument("MS"), fallback(2000))]
        delay_ms: u64,
        /// Every n-th answer is rated
        #[bpaf(argument("COUNT"), fallback(10))]
        every: u64,
        /// Administration address of a control replica to send ratings to; may be repeated
        #[bpaf(argument("ADDRESS:PORT"), many)]
        control: Vec<SocketAddr>,
    },
    /// Runs a weight store that limits the rate of loads
    #[bpaf(command)]
    Weights {
        /// Address to listen on
        #[bpaf(argument("ADDRESS:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Loads that may start per second
        #[bpaf(argument("COUNT"), fallback(1.0))]
        per_s: f64,
    },
}

fn identity() -> impl bpaf::Parser<Identity> {
    let name = bpaf::long("name").help("Name of the endpoint").argument::<String>("NAME");
    let listen = bpaf::long("listen")
        .help("Address to listen on; port 0 chooses a free one")
        .argument::<SocketAddr>("ADDRESS:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let advertise = bpaf::long("advertise")
        .help("Address to announce instead of the listening one, for example that of a relay")
        .argument::<SocketAddr>("ADDRESS:PORT")
        .optional();
    let region = bpaf::long("region").help("Region").argument::<String>("NAME");
    let zone = bpaf::long("zone").help("Availability zone").argument::<String>("NAME");
    let announce = bpaf::long("announce")
        .help("Address of an entry to announce to; may be repeated")
        .argument::<SocketAddr>("ADDRESS:PORT")
        .many();
    let announce_key = bpaf::long("announce-key")
        .help("Key to send with each announcement")
        .argument("KEY")
        .optional();
    let leave_ms = bpaf::long("leave-ms")
        .help("Milliseconds from the announcement that the endpoint is leaving to its stop")
        .argument::<u64>("MS")
        .fallback(3_500);
    bpaf::construct!(name, listen, advertise, region, zone, announce, announce_key, leave_ms).map(
        |(name, listen, advertise, region, zone, announce, announce_key, leave_ms)| Identity {
            name: name.into(),
            listen,
            advertise,
            region: region.into(),
            zone: zone.into(),
            announce,
            announce_key,
            leave_delay: Duration::from_millis(leave_ms),
        },
    )
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    match arguments().run() {
        Arguments::Engine {
            identity,
            version,
            token_ms,
            slots,
            prefill,
            checks_fence,
            weights,
        } => {
            let settings = engine::Settings {
                versions: version,
                token_ms,
                slots,
                prefill_bytes_per_s: prefill,
                checks_fence,
                weights,
            };
            engine::run(identity, settings).await
        }
        Arguments::Ports { count } => print_free_ports(count),
        Arguments::Service { identity, service, call_ms } => {
            service::run(identity, service, call_ms).await
        }
        Arguments::Rater { listen, delay_ms, every, control } => {
            let delay = Duration::from_millis(delay_ms);
            rater::run(listen, rater::Settings { delay, every, control }).await
        }
        Arguments::Weights { listen, per_s } => weights::run(listen, per_s).await,
    }
}

/// Prints free ports that the kernel assigned. All listeners stay open until every port is
/// assigned, so that no port is printed twice.
fn print_free_ports(count: usize) -> eyre::Result<()> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind(("127.0.0.1", 0)))
        .collect::<Result<_, _>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
