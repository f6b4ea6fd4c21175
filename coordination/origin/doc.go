// Package origin keeps at which build streams began, so that any router can go on with a stream
// that its caller takes up again, at that build.
//
// The router that began a stream remembers where. While its service has several builds, it also
// sends that to a few other routers, the stream's replicas, which are drawn by rendezvous hashing
// of the stream and are the same for every router that has the same list. A router to which a
// caller comes back asks the replicas. While a service has one build nothing is sent; as soon as
// it has a second one, routers send what they began lately.
//
// In a large fleet only relays are replicas. The other routers send and ask through their relay,
// and ask the replicas directly only if it doesn't answer, so that routers don't get connections to
// all relays.
//
// Failures guarded against:
//
//   - The router that began the stream is killed or restarted, and replicas with it: three of
//     them have to be lost.
//   - It is killed before it has sent where the stream began, or no replica answers, or lists of
//     routers differ: the stream's origin is unknown, which permits nothing.
//   - Many streams: a Directory holds a bounded number, the oldest are forgotten first and are
//     then unknown. Messages are bounded by the streams that begin.
package origin
