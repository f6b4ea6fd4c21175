// Package engineorders decides which models engines load and unload, and
// sees each such order through. Everything in it is a value or a step of one:
// no goroutine, socket or clock.
//
// The mechanism. The consensus leader is the issuer. On taking office it
// commits a Take; the log index is its office. Each order is an Issue command,
// refused unless it names the office in force; its log index is the order's
// fencing number, so numbers grow with every order and every issuer. The
// Issuer sends an open order to the router that owns the engine, and that
// router's Gate decides whether the engine gets it. The owner reads the
// engine's state back; only what was read settles an order, by a Confirm or an
// Abandon. A later issuer finds every open order in the state (State) and
// carries on with the same number. Scaler turns demand into replicas, and
// MakePlan turns replicas into the next orders.
//
// Failures guarded here:
//
//   - Two processes hold themselves for the issuer: Issue, Confirm and Abandon
//     of an office that is not the latest change nothing.
//   - A frozen issuer thaws with a message in its hands: Gate refuses an older
//     office, an older number, and an order meant for an earlier tenure of
//     ownership. An engine that checks numbers refuses them once more.
//   - An engine ignores numbers: nobody behind the Gate protects it. Its
//     orders wait until the leases of the former issuer and of an owner it
//     knew have run out, and what it then holds is read before and after.
//   - An answer is lost: the order is sent again with the same number. All
//     actions set a state, so a repetition changes nothing.
//   - The weight store is slow: State refuses a load above the bound on open
//     loads, whatever an issuer thinks.
//   - An engine refuses: the order is abandoned with the reason, and the engine
//     gets no other for a time that doubles.
package engineorders
