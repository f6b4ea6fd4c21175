package node

import (
	"fmt"
	"time"

	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

// quarantinedDetail tells a caller why its chat is refused.
const quarantinedDetail = "this request, or a message in it, crashed the engines that ran it"

// defaultOutputTokens is the expected length of an answer, in tokens, when the
// caller sets no limit.
const defaultOutputTokens = 256

// authorize returns the customer of a request, or the error to refuse it with.
func (n *Node) authorize(now time.Duration, in CallerRequest) (*Customer, *AnswerError) {
	if n.draining {
		return nil, refusal(in.ID, 503, reason.Draining, "this router is stopping; another one serves you", statusRetryAfter)
	}
	if !n.leaseValid(now) {
		return nil, refusal(in.ID, 503, reason.NoLease, "this router can't confirm its configuration; another one may", statusRetryAfter)
	}
	if !in.HasKey {
		return nil, refusal(in.ID, 401, reason.KeyMissing, "send your key as Authorization: Bearer KEY", 0)
	}
	customer := n.view.Customers.Find(in.KeyHash)
	if customer == nil {
		return nil, refusal(in.ID, 401, reason.KeyUnknown, "no customer has this key", 0)
	}
	if customer.Disabled {
		return nil, refusal(in.ID, 403, reason.CustomerDisabled, "this customer is switched off; ask your operator", 0)
	}
	return customer, nil
}

// classify prepares a request as a chat, a request to a plain service or an
// order. It returns the error to refuse it with, or nil.
func (n *Node) classify(now time.Duration, e *entryRequest) *AnswerError {
	in := e.request
	e.template = fleet.Place{
		Customer: e.customer.ID,
		Class:    e.customer.Class,
		Weight:   e.customer.Weight,
		Method:   in.Method,
		Path:     in.Path,
		Headers:  in.Headers,
		Body:     in.Body,
	}
	e.deadline = now + n.config.DefaultDeadline
	if in.Path == upstreamapi.CompletionsPath {
		return n.classifyChat(now, e)
	}
	return n.classifyService(now, e)
}

// classifyChat prepares a chat request.
func (n *Node) classifyChat(now time.Duration, e *entryRequest) *AnswerError {
	in := e.request
	if in.Chat == nil {
		return refusal(in.ID, 400, reason.BodyInvalid, in.ChatError, 0)
	}
	if len(in.Chat.Messages) == 0 {
		return refusal(in.ID, 400, reason.BodyInvalid, "the body has no messages", 0)
	}
	model := protocol.Model(in.Chat.Model)
	if _, known := n.view.Models[model]; !known {
		return refusal(in.ID, 404, reason.ModelUnknown, fmt.Sprintf("no upstream serves model %q", in.Chat.Model), 0)
	}
	digest := quarantine.DigestOf(e.customer.ID, in.Body)
	parts := chat.SharedParts(in.Chat.Messages)
	if left := n.quarantinedFor(now, digest, parts); left > 0 {
		return refusal(in.ID, 422, reason.Quarantined, quarantinedDetail, left)
	}
	e.chain = chat.Chain(in.Chat.Model, in.Chat.Messages)
	template := &e.template
	template.Digest = uint64(digest)
	template.Parts = parts
	template.Suspect = n.quarantine.Check(now, digest).Status == quarantine.Suspect
	template.Model = model
	template.Streamed = in.Chat.Stream
	template.Idempotent = true
	template.RootIndex = placement.RootIndex(in.Chat.Messages)
	template.Chain = encodeChain(e.chain)
	template.PromptTokens = e.chain[len(e.chain)-1].Tokens
	template.OutputTokens = in.Chat.MaxTokens
	if template.OutputTokens <= 0 {
		template.OutputTokens = defaultOutputTokens
	}
	return nil
}

// encodeChain converts the prefix hashes of a chat to their wire form.
func encodeChain(chain []chat.Link) []fleet.Link {
	links := make([]fleet.Link, 0, len(chain))
	for _, link := range chain {
		links = append(links, fleet.Link{Hash: uint64(link.Hash), Tokens: link.Tokens})
	}
	return links
}

// decodeChain converts the prefix hashes of a chat from their wire form.
func decodeChain(links []fleet.Link) []chat.Link {
	chain := make([]chat.Link, 0, len(links))
	for _, link := range links {
		chain = append(chain, chat.Link{Hash: chat.ChainHash(link.Hash), Tokens: link.Tokens})
	}
	return chain
}

// classifyService prepares a request to a plain service. A request of a route
// that isn't idempotent becomes an order.
func (n *Node) classifyService(now time.Duration, e *entryRequest) *AnswerError {
	in := e.request
	route, found := n.view.route(in.Path)
	if !found {
		return refusal(in.ID, 404, reason.RouteUnknown, "no route has this path", 0)
	}
	e.service = route.Service
	e.template.Path = servicePath(in.Path, route.Prefix)
	e.template.OutputTokens = 1
	e.template.Idempotent = route.Idempotent
	if route.Deadline > 0 {
		e.deadline = now + route.Deadline
	}
	if route.Idempotent {
		return nil
	}
	if in.IdempotencyKey == "" {
		return refusal(in.ID, 400, reason.IdempotencyKeyMissing, "this route runs a request at most once; name it with the header Idempotency-Key", 0)
	}
	e.order = n.newOrder(e)
	return nil
}

// servicePath removes the route's prefix from a path.
func servicePath(path, prefix string) string {
	rest := path[len(prefix):]
	if rest == "" || rest[0] != '/' {
		rest = "/" + rest
	}
	return rest
}

// refuse sends the error for a request that was never placed.
func (n *Node) refuse(answer AnswerError) {
	n.emit(answer)
	n.emit(Event{Request: answer.Request, Kind: "refused", Reason: answer.Reason, Detail: answer.Detail})
}

// refusal is the error for a request of which no byte has left this router.
func refusal(id protocol.RequestID, status int, why reason.Code, detail string, retryAfter time.Duration) *AnswerError {
	return &AnswerError{Request: id, Status: status, Reason: why, Detail: detail, Outcome: protocol.NotRun, RetryAfter: retryAfter}
}
