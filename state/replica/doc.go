// Package replica runs one member of the replicated log on a VM with a disk. A
// Replica drives the consensus core, which does no I/O itself, with the
// write-ahead log, a Transport between the members and a StateMachine. Recover
// makes a single surviving voter usable again after the quorum is lost for good.
//
// A daemon uses the package like this:
//
//	folder, err := disk.Open(path)
//	r, err := replica.New(replica.Config{
//		Self: "r1", Peers: all disk routers, InitialVoters: three or five of them,
//		Disk: folder, Transport: t, Machine: m, Random: rng,
//	})
//	r.Start()
//	result, err := r.Propose(ctx, command)  // result of Apply on this member
//	r.Receive(msg)                          // every message from the transport
//	err = r.Barrier(ctx)                    // a read after it sees all commands accepted before it
//	read state; r.IsLeaderWithLease(r.Now()) // or read first, then check the lease
//	r.Leader(); r.Status()
//	r.TransferLeadership(ctx); r.Stop()     // a planned stop without an election timeout
//
// Each group of state (the table, a journal) has its own folder and Replica. The
// transport must keep the messages of different groups apart.
//
// All members get the same Peers and InitialVoters. They form the cluster
// automatically once all peers are up and blank. A blank VM that starts later
// becomes a learner, and a voter when another voter is lost. A single initial
// voter forms a cluster of one.
//
// Propose returns one of these errors:
//
//   - ErrNotLeader: propose on the member that Leader names.
//   - ErrBusy: try again later.
//   - ErrLostLeadership: the outcome is unknown. Propose again with the same
//     change ID.
//   - ErrStopped.
//   - ErrDiskFailed: the outcome is unknown.
//   - The context's error: the outcome is unknown.
//
// One goroutine owns the core, the log and the state machine. It takes all
// waiting inputs, steps the core and persists the result with one sync. Only then
// does it send votes and acknowledgements and apply committed commands. Inputs
// queue up while a sync runs, so the batch grows with the load (group commit).
//
// Failures guarded against: a failed sync or a full disk ends the loop and all
// waiting calls with ErrDiskFailed. Bounded queues protect the loop from a
// transport or caller that sends too much.
package replica
