// Package clients tests a fleet against clients that don't behave. It starts the real programs as
// processes on loopback addresses, with the descriptors, the memory and the processor of a VM, and
// plays one kind of client against one listener at a time, beside ordinary callers.
//
// process is one program. watch measures its memory, which includes the bytes that lie in the
// kernel's buffers of its connections, ends it when that passes its VM's memory, and keeps its
// processor time within its VM's share. ordinary are callers that behave, and kinds are the clients that don't.
//
// `go test ./soak/clients` plays each kind at one listener and path. To play all of them:
//
//	go test ./soak/clients -timeout 0 -v -clients.all -clients.seconds 5
//
// The test signals only processes that it has started, by their process IDs.
package clients
