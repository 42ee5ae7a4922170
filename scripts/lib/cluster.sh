# Functions for scripts that start a whole system on loopback. Source this file from bash.
#
# Sets bin (directory of the binaries), work (a temporary directory) and pids. Processes started with
# `start` are stopped by id when the script exits.

bin=$PWD/target/${PROFILE:-debug}
work=$(mktemp -d)
pids=()

stop_all() {
  local status=$?
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "FAILED; the last log lines:"
    tail -n 3 "$work"/*.log || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT

step() { echo "==> $*"; }
fail() { echo "check failed: $*" >&2; exit 1; }
sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
joined() { local IFS=,; echo "$*"; }

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=("$!")
}

# Retries a command for up to 20 s.
eventually() {
  local tries
  for tries in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "not reached in 20 s: $*"
}

# Chooses free ports for three control replicas and COUNT entries. Sets rpc, admin, replicas and
# entries.
choose_ports() { # COUNT
  local ports i
  mapfile -t ports < <("$bin/hickoryreel-standin" ports $((6 + $1)))
  rpc=() admin=() replicas=() entries=()
  for i in 0 1 2; do
    rpc+=("127.0.0.1:${ports[i]}")
    admin+=("127.0.0.1:${ports[i + 3]}")
    replicas+=("${rpc[i]}/${admin[i]}")
  done
  for ((i = 6; i < 6 + $1; i++)); do entries+=("127.0.0.1:${ports[i]}"); done
}

# Starts the three control replicas. The operators are maria and nikos; the key of each is NAME-key.
start_controls() {
  local i
  for i in 0 1 2; do
    cat >"$work/control$i.ini" <<INI
[control]
rpc = ${rpc[i]}
admin = ${admin[i]}
data = $work/control$i
replicas = $(joined "${replicas[@]}")
[operators]
maria = $(sha maria-key)
nikos = $(sha nikos-key)
INI
    start "control$i" "$bin/hickoryreel-control" --settings "$work/control$i.ini"
  done
}

# Starts the entries, distributed over the given regions in turn.
start_entries() { # REGION...
  local regions=("$@") i region
  for i in "${!entries[@]}"; do
    region=${regions[i % ${#regions[@]}]}
    cat >"$work/entry$i.ini" <<INI
[entry]
name = entry$i
listen = ${entries[i]}
control = $(joined "${rpc[@]}")
region = $region
zone = $region-a
INI
    start "entry$i" "$bin/hickoryreel-entry" --settings "$work/entry$i.ini"
  done
}

# Starts a stand-in endpoint that announces itself to the first two entries.
start_standin() { # KIND NAME REGION OPTION...
  local kind=$1 name=$2 region=$3
  shift 3
  start "$name" "$bin/hickoryreel-standin" "$kind" --name "$name" --region "$region" \
    --zone "$region-a" --announce "${entries[0]}" --announce "${entries[1]}" "$@"
}

operate() { # OPERATOR ARGUMENT...
  "$bin/hickoryreel" --control "${admin[0]}" --control "${admin[1]}" --control "${admin[2]}" \
    --key "$1-key" "${@:2}"
}

# Succeeds if the directory lists exactly COUNT endpoints.
endpoints_known() { # COUNT
  [ "$(operate maria --json endpoints | grep -c '"endpoint"')" = "$1" ]
}
