# Functions that the scripts share. A script sources this file, sets up a work
# folder with setup_fleet, and starts what it needs; everything started is
# ended by its process ID when the script exits.

pids=()
stop_all() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}

# setup_fleet BASE_PORT builds the programs and writes the settings of three
# routers that vote.
setup_fleet() {
  base=$1
  work=$(mktemp -d)
  trap stop_all EXIT
  go build -o "$work/bin/" ./cmd/...
  export PATH="$work/bin:$PATH"
  operator_key=operator-demo-key
  export ENDIVEPLANK_KEY=$operator_key
  for i in 1 2 3; do settings $i >"$work/r$i.json"; done
  export CALLERS=127.0.0.1:$(port 1 0) CALLERS2=127.0.0.1:$(port 2 0) CALLERS3=127.0.0.1:$(port 3 0)
  export ENDIVEPLANK_ADMIN=127.0.0.1:$(port 1 2) ADMIN2=127.0.0.1:$(port 2 2) ADMIN3=127.0.0.1:$(port 3 2)
  export DESK=127.0.0.1:$(port 5 0) LOGS=$work
  announce=127.0.0.1:$(port 1 1),127.0.0.1:$(port 2 1),127.0.0.1:$(port 3 1)
}

port() { echo $((base + 10 * $1 + $2)); }
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

settings() {
  cat <<JSON
{"router_id":"r$1","role":"voter","data_centre":"dc$1","region":"home","data_folder":"$work/r$1",
 "listen":{"callers":"127.0.0.1:$(port $1 0)","upstreams":"127.0.0.1:$(port $1 1)",
           "admin":"127.0.0.1:$(port $1 2)","peers":"127.0.0.1:$(port $1 3)"},
 "peers":[{"router_id":"r1","address":"127.0.0.1:$(port 1 3)"},
          {"router_id":"r2","address":"127.0.0.1:$(port 2 3)"},
          {"router_id":"r3","address":"127.0.0.1:$(port 3 3)"}],
 "voters":["r1","r2","r3"],
 "timing":{"unready_ms":200},
 "operators":[{"name":"demo","role":"control","key_sha256":"$(digest "$operator_key")"}],
 "log":{"level":"${ENDIVEPLANK_LOG:-info}","format":"text"}}
JSON
}

declare -A router_pid
start_router() {
  endiveplankd --config "$work/r$1.json" 2>>"$work/r$1.log" &
  router_pid[$1]=$!
  pids+=($!)
}

start_engine() {
  endiveplank-standin engine --id "e$1" --models m1 --data-centre "dc$1" --listen "127.0.0.1:$(port 4 "$1")" --announce "$announce" >>"$work/e$1.log" 2>&1 &
  engine_pid[$1]=$!
  pids+=($!)
}
declare -A engine_pid

# start_desk FLAGS... starts the order desk.
start_desk() {
  endiveplank-standin desk --id desk1 --service orders --data-centre dc3 --listen "$DESK" --announce "$announce" --journal "$work/desk.journal" "$@" >>"$work/desk.log" 2>&1 &
  pids+=($!)
}

ready() { curl -fs -m 2 -o /dev/null "http://$1/readyz"; }

# await_ready ADDRESS... waits until each router reports ready.
await_ready() {
  local address
  for address in "$@"; do
    for _ in $(seq 300); do ready "$address" && break; sleep 0.1; done
    if ! ready "$address"; then
      echo "router at $address did not become ready"
      tail -n 5 "$work"/r*.log
      exit 1
    fi
  done
}

# first_rows adds two customers and the order route.
first_rows() {
  endiveplank table set customers clerks key_hashes="$(digest key-clerks)" class=0 --why "first rows" >/dev/null
  endiveplank table set customers merchants key_hashes="$(digest key-merchants)" class=2 --why "first rows" >/dev/null
  endiveplank table set routes /svc/orders service=orders idempotent=no --why "first rows" >/dev/null
}

# await_well waits until the fleet has nothing to complain about.
await_well() {
  for _ in $(seq 200); do
    endiveplank status --output json 2>/dev/null | grep -q '"problems": \[\]' && return
    sleep 0.1
  done
  endiveplank status
  exit 1
}
