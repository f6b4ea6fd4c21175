// Package replica runs one member of the replicated log on a VM with a disk:
// it joins the pure consensus core, the write-ahead log, a transport between
// the members and a state machine.
//
// A daemon uses it so:
//
//	folder, err := disk.Open(path)
//	r, err := replica.New(replica.Config{
//		Self: "r1", Peers: all disk routers, InitialVoters: three or five of them,
//		Disk: folder, Transport: t, Machine: m, Random: rng,
//	})
//	r.Start()
//	result, err := r.Propose(ctx, command)  // result of Apply on this member
//	r.Receive(msg)                          // every message from the transport
//	err = r.Barrier(ctx)                    // then read: sees all accepted before
//	read state; r.IsLeaderWithLease(r.Now()) // or read first, then check
//	r.Leader(); r.Status()
//	r.HandOver(ctx); r.Stop()               // a planned stop leaves no gap
//
// Each group of state (the table, a journal) has its own folder and Replica;
// the transport has to tell their messages apart.
//
// All members get the same Peers and InitialVoters. They form the cluster by
// themselves once all peers are up and blank; a blank VM that comes
// later becomes a learner, and a voter when one is lost. A single initial
// voter makes a cluster of one.
//
// Propose fails with ErrNotLeader (ask Leader), ErrBusy (try later),
// ErrLostLeadership (the outcome is unknown: propose again under the same
// change ID), ErrStopped, ErrDiskFailed, or the context's error (unknown too).
//
// One goroutine owns core, log and state machine. It takes all inputs that
// wait, steps the core, persists what follows with one sync, and only then
// sends votes and acknowledgements and applies what is committed. While a
// sync runs, inputs gather, so that the batch grows with the load: that is
// group commit.
//
// Failures guarded: a failed sync or full disk ends the loop and every waiting
// call (ErrDiskFailed); a transport or caller that floods is held off by
// bounded queues.
package replica
