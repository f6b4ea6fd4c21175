// Package stream keeps one caller's answer whole while the connections that
// carry it stall, break and are replaced.
//
// Three parts work together, one of each per request except the first:
//
//   - Pace learns how an engine lately delivered: a quantile of the time to
//     the first token and of the time between tokens, from a small decaying
//     histogram. It turns them into the silence that still counts as progress.
//   - Watch follows one stream. When its silence exceeds the engine's limit
//     it asks first for a new connection to the same engine, resumed at the
//     last delivered token, because a connection can go silent for good while
//     new ones to the same engine work. When that one stalls too, it asks for
//     another engine. The number of attempts is bounded.
//   - Assembler takes chunks, which carry the request, the attempt and the
//     token's index, and passes on each index once, in order, from the current
//     attempt only. A chunk that an abandoned attempt delivers late, doubles
//     or reorders never reaches the caller.
//
// Use, with one Pace per engine:
//
//	watch := stream.NewWatch(now, config)
//	assembler := stream.NewAssembler(request, config.MaxHeld)
//	verdict := assembler.Accept(chunk)              // Deliver holds what goes to the caller
//	if sample, ok := watch.Progress(now, assembler.Next()); ok {
//		pace.Observe(sample)
//	}
//	step := watch.Check(now, pace)                  // at step.CheckAt; Broken or Lost after an error
//
// When a step asks for a new attempt, the caller of this package asks the retry
// budget, closes the old connection, calls assembler.Begin(step.Attempt) and
// sends the request with ResumeAt in the resume header.
package stream
