// Package engineorders decides which models engines load and unload, and tracks
// each such order until its outcome is known. It has no goroutines, sockets or
// clocks; a driver calls it.
//
// The consensus leader is the issuer. At the start of its term it commits a
// StartTerm command; the command's log index identifies the term, which is not
// the consensus term. Each order is opened by an Issue command, which is refused
// unless it names the current term. Its log index is the order's fencing number,
// so the numbers grow from order to order and from issuer to issuer. The Issuer
// sends an open order to the router that owns the engine, and that router's Gate
// decides whether to pass it to the engine. The owner then reads the engine's
// state. Only a state that was read, or a refusal or timeout, settles an order, by
// a Confirm or Abandon command. The next issuer finds the open orders in the
// replicated State and continues with the same fencing numbers. Scaler computes
// the number of replicas from the demand, and MakePlan computes the next orders
// from the replicas.
//
// Failures that the package guards against:
//
//   - Two processes each consider themselves the issuer. Issue, Confirm and
//     Abandon commands of any term but the latest change nothing.
//   - A frozen issuer resumes and its message is still sent. Gate refuses an older
//     term, an older fencing number, and an order meant for an earlier ownership
//     of the engine. An engine that checks fencing numbers refuses them again.
//   - An engine ignores fencing numbers, so nothing behind the Gate protects it.
//     Its orders wait until the leases of the former issuer and of a former owner
//     have expired, and the engine's state is read before and after an order.
//   - An answer is lost. The order is sent again with the same fencing number.
//     Every action sets a state, so repeating it changes nothing.
//   - The weight store is slow. State refuses a load when MaxOpenLoads are open,
//     whatever an issuer decides.
//   - An engine refuses an order. The order is abandoned with the reason, and the
//     engine gets no other order for a backoff that doubles each time.
package engineorders
