// Package intake divides what a process has among the clients that connect to it: file
// descriptors, memory and processor time.
//
// The package guards against this failure: clients take a resource before anybody has decided to
// give it to them. They open connections and send nothing, hold bodies short of their end, or send
// requests that cost more to read than to send. The process runs out of memory, or ordinary callers
// find no descriptor and no processor time. Addresses don't tell such clients from others, as all
// come through a load balancer.
//
// Each resource has one budget with a fixed size. While there is room, every client gets what it
// asks for. When there is none, the client that has made the least progress for what it holds gives
// way, so that an ordinary caller, whose request is small, complete and soon served, is the last:
//
//   - Connections chooses which connections to close when no further one can be opened.
//   - Memory decides which requests may hold how many bytes.
//   - Work decides how long a connection waits before it is read again.
//
// The types are not safe for concurrent use.
package intake
