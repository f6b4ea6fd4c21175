// Package stream keeps one caller's answer complete and correct while the
// connections that carry it stall, break and are replaced.
//
// It has three main types. Each engine has a WaitEstimator; each request has a Monitor and
// an Assembler:
//
//   - WaitEstimator estimates how an engine recently delivered: a quantile of the time
//     to the first token and of the time between tokens, from a small decaying
//     histogram. From it follows the longest silence that still counts as progress.
//   - Monitor follows one stream. When its silence exceeds the engine's limit, it first
//     asks for a new connection to the same engine, resumed at the first token that
//     was not delivered, because a connection can go silent for good while new ones to
//     the same engine work. If that one stalls too, it asks for another engine. The
//     number of attempts is limited.
//   - Assembler takes chunks, each with its request, attempt and token index. It passes
//     on each index once, in order, from the current attempt only. Chunks that an
//     abandoned attempt delivers late, twice or out of order never reach the caller.
//
// Use, with one WaitEstimator per engine:
//
//	monitor := stream.NewMonitor(now, config)
//	assembler := stream.NewAssembler(request, config.MaxHeld)
//	accepted := assembler.Accept(chunk)             // accepted.Deliver goes to the caller
//	if sample, ok := monitor.Progress(now, assembler.Next()); ok {
//		estimator.Observe(sample)
//	}
//	step := monitor.Check(now, estimator)           // at step.CheckAt; ConnectionBroken or EngineLost after an error
//
// When a step asks for a new attempt, the caller of this package asks the retry
// budget, closes the old connection, calls assembler.Begin(step.Attempt) and sends the
// request with ResumeAt in the resume header.
package stream
