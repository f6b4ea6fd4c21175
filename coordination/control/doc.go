// Package control holds the protocol between the disk VMs, which keep the routing
// table and receive the announcements of the upstreams, and the routers, which follow
// the disk VMs.
//
// A Follower runs on every router. It sends a Watch to each disk VM that it knows, once
// a second and whenever it lacks something. A Publisher runs on every disk VM. It
// answers a Watch with Status, List and Document, and sends Status and Changes on its
// own when something changes. A Relay passes large tables and changes of upstreams
// from router to router. A disk VM has a Follower too, for the rosters of the other disk
// VMs.
//
// Operators' orders to evacuate data centres travel with Status and with every table, so
// that no router serves by a table without them, whoever sent it.
//
// Disk VMs also record the cache holders: the engines that hold prompt prefixes in their
// caches. A router that starts asks for them, so that it sends a prompt to an engine that
// has already processed its prefix.
//
// Every message may be lost: the next Watch says what the router has, and the disk VM
// sends what it lacks. Status names the other disk VMs and routers, so one address that
// works is enough for a router to find all of them.
//
// Routers pull large tables; disk VMs don't push them. Five disk VMs that each push a
// whole table to ninety routers would fill their links for seconds. Instead every disk
// VM announces the table's version, and a router asks one of them for the table, and
// another one if the first doesn't answer.
//
// The package guards against these failures:
//   - No disk VM can be reached: the Follower keeps what it has and goes on asking.
//   - A disk VM is replaced at another address: other disk VMs name the new one.
//   - A disk VM restarts and lists fewer or other upstreams: the digest of its roster
//     differs, so the Follower asks for the parts that differ and merges them.
//   - A disk VM is cut off by a partition and has an old table: a Follower never goes
//     back to a lower version.
package control
