//! `hickoryreel-standin`: runs a stand-in endpoint.

use std::net::SocketAddr;

use bpaf::Bpaf;
use bpaf::Parser;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_standin::announce::Identity;
use hickoryreel_standin::engine;
use hickoryreel_standin::service;

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
        #[bpaf(argument("MS"), fallback(5))]
        token_ms: u64,
    },
    /// Prints free ports, one a line
    #[bpaf(command)]
    Ports {
        /// How many
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
    },
}

fn identity() -> impl bpaf::Parser<Identity> {
    let name = bpaf::long("name").help("Name of the endpoint").argument::<String>("NAME");
    let listen = bpaf::long("listen")
        .help("Address to listen on; port 0 chooses a free one")
        .argument::<SocketAddr>("ADDRESS:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let region = bpaf::long("region").help("Region").argument::<String>("NAME");
    let zone = bpaf::long("zone").help("Availability zone").argument::<String>("NAME");
    let announce = bpaf::long("announce")
        .help("Address of an entry to announce to; may be repeated")
        .argument::<SocketAddr>("ADDRESS:PORT")
        .many();
    bpaf::construct!(name, listen, region, zone, announce).map(
        |(name, listen, region, zone, announce)| Identity {
            name: name.into(),
            listen,
            region: region.into(),
            zone: zone.into(),
            announce,
        },
    )
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    match arguments().run() {
        Arguments::Engine { identity, version, token_ms } => {
            let settings = engine::Settings { versions: version, token_ms };
            engine::run(identity, settings).await
        }
        Arguments::Ports { count } => print_free_ports(count),
        Arguments::Service { identity, service } => service::run(identity, service).await,
    }
}

/// Prints ports the kernel chose. All are held open until the last one is known, so that they
/// differ from each other.
fn print_free_ports(count: usize) -> eyre::Result<()> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind(("127.0.0.1", 0)))
        .collect::<Result<_, _>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
