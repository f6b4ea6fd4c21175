package router

import (
	"context"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/origin"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/transport/forward"
)

// streamBuilds is what a router knows of builds and of where streams began.
type streamBuilds struct {
	// lately are the builds that this router has listed lately, and mixed the services that
	// had several when that was last looked at.
	lately *builds.Set
	mixed  map[protocol.Service]bool
	// unconfirmed are the builds listed now that no majority of the disk VMs has told of, and
	// doubted, by service, those of them that streams don't begin at: there are others.
	unconfirmed []builds.Pair
	doubted     map[protocol.Service][]string
	quorum      *builds.Quorum
	origins     *origin.Directory
	// readers wait for an answer of the quorum, and askers for an answer of the directory.
	readers map[builds.Waiter]chan builds.Answer
	waiters builds.Waiter
	askers  map[uint64]chan origin.Found
}

func newStreamBuilds() streamBuilds {
	return streamBuilds{
		lately: builds.NewSet(), doubted: map[protocol.Service][]string{}, mixed: map[protocol.Service]bool{},
		quorum: builds.NewQuorum(), origins: origin.NewDirectory(),
		readers: map[builds.Waiter]chan builds.Answer{}, askers: map[uint64]chan origin.Found{},
	}
}

// StreamOrigin implements forward.Fleet.
func (r *Router) StreamOrigin(ctx context.Context, job forward.Job, resumes protocol.RequestID) (builds.Pair, bool) {
	began, known, how := r.findOrigin(ctx, job, resumes)
	line := r.options.RequestLog.Info()
	if !known {
		line = r.options.RequestLog.Warn()
	}
	line.Str("event", "origin").Str("request", string(job.ID)).Str("began", string(resumes)).Bool("known", known).
		Str("how", how).Str("service", string(began.Service)).Str("build", began.Build).Send()
	return began, known
}

// The ways in which the origin of a stream is found, for the log.
const (
	originRemembered = "remembered"
	originReplica    = "replica"
	originOneBuild   = "one-build"
	originSeveral    = "several-builds"
	originNoMajority = "no-majority"
)

// findOrigin finds where a stream began: as this router or a replica remembers it, or at the only
// build that its service has had lately, as a majority of the disk VMs tells now.
func (r *Router) findOrigin(ctx context.Context, job forward.Job, resumes protocol.RequestID) (began builds.Pair, known bool, how string) {
	if began, known = r.rememberedOrigin(resumes); known {
		return began, true, originRemembered
	}
	services := servicesOf(job.Route)
	how = originSeveral
	if !r.isMixed(services) {
		answer := r.readBuilds(ctx)
		if build, only := answer.Only(services); only {
			began = builds.Pair{Service: job.Service, Build: build}
			r.learnOrigin(resumes, began)
			return began, true, originOneBuild
		}
		if !answer.Known {
			how = originNoMajority
		}
	}
	if found := r.askOrigin(ctx, resumes); found.Known {
		return found.Began, true, originReplica
	}
	return builds.Pair{}, false, how
}

// servicesOf returns the services of a route.
func servicesOf(route *routing.Route) []protocol.Service {
	var services []protocol.Service
	for _, share := range route.Split {
		services = append(services, share.Service)
	}
	return services
}

// rememberedOrigin returns where a stream began, if this router remembers it.
func (r *Router) rememberedOrigin(resumes protocol.RequestID) (builds.Pair, bool) {
	if resumes == "" {
		return builds.Pair{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.builds.origins.Lookup(r.now(), origin.IDOf(resumes))
}

// isMixed reports whether services have had more than one build lately, as far as this router
// knows.
func (r *Router) isMixed(services []protocol.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		if r.builds.lately.IsMixed(service) {
			return true
		}
	}
	return false
}

// learnOrigin records where a stream began.
func (r *Router) learnOrigin(resumes protocol.RequestID, began builds.Pair) {
	if resumes == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.builds.origins.Learned(r.now(), origin.IDOf(resumes), began)
}

// readBuilds asks the disk VMs for the builds that they have listed lately.
func (r *Router) readBuilds(ctx context.Context) builds.Answer {
	r.mu.Lock()
	b := &r.builds
	b.waiters++
	waiter, answer := b.waiters, make(chan builds.Answer, 1)
	b.readers[waiter] = answer
	b.quorum.Ask(waiter)
	r.tickBuilds(r.now())
	r.mu.Unlock()
	select {
	case told := <-answer:
		return told
	case <-ctx.Done():
	case <-r.quit:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(b.readers, waiter)
	return builds.Answer{}
}

// askOrigin asks the replicas of a stream where it began.
func (r *Router) askOrigin(ctx context.Context, resumes protocol.RequestID) origin.Found {
	if resumes == "" {
		return origin.Found{}
	}
	r.mu.Lock()
	call, messages, asked := r.builds.origins.Ask(r.now(), origin.IDOf(resumes))
	if !asked {
		r.mu.Unlock()
		return origin.Found{}
	}
	answer := make(chan origin.Found, 1)
	r.builds.askers[call] = answer
	r.sendOrigins(messages)
	r.mu.Unlock()
	select {
	case found := <-answer:
		return found
	case <-ctx.Done():
	case <-r.quit:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.builds.askers, call)
	return origin.Found{}
}

// StreamBegan implements forward.Fleet.
func (r *Router) StreamBegan(job forward.Job, choice balance.Choice) {
	if job.ID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.builds
	b.origins.Began(r.now(), origin.IDOf(job.ID), *job.Began, b.lately.IsMixed(job.Began.Service))
}

// restrictBuild limits a request for a stream to the build that began it or, if it hasn't begun,
// to builds that a majority of the disk VMs has told of. The lock is held.
func (r *Router) restrictBuild(request *balance.Request, job forward.Job) {
	switch {
	case job.Began != nil:
		request.OnlyBuild, request.Build = true, job.Began.Build
	case job.Route != nil && job.Route.Stream:
		request.Doubted = r.builds.doubted[job.Service]
	}
}

// noteBuilds takes the builds that are listed now. The lock is held.
func (r *Router) noteBuilds(now time.Duration) {
	b := &r.builds
	b.lately.Expire(now)
	for _, p := range r.balancer.Builds() {
		if b.lately.Note(now, p) && b.lately.IsMixed(p.Service) {
			r.log.Info().Str("event", "builds-mixed").Str("service", string(p.Service)).Str("build", p.Build).Send()
		}
		isMixed := b.lately.IsMixed(p.Service)
		if isMixed && !b.mixed[p.Service] {
			b.origins.Share(now, p.Service)
		}
		b.mixed[p.Service] = isMixed
	}
	r.setDoubted()
}

// setDoubted finds the listed builds that no majority of the disk VMs has told of. The lock is
// held.
func (r *Router) setDoubted() {
	b := &r.builds
	listed := r.balancer.Builds()
	b.unconfirmed = b.quorum.Unconfirmed(listed)
	clear(b.doubted)
	for _, p := range b.unconfirmed {
		b.doubted[p.Service] = append(b.doubted[p.Service], p.Build)
	}
	for service, doubted := range b.doubted {
		if len(doubted) == countOf(listed, service) {
			delete(b.doubted, service)
		}
	}
}

// countOf returns how many builds of a service there are in a list.
func countOf(listed []builds.Pair, service protocol.Service) int {
	count := 0
	for _, p := range listed {
		if p.Service == service {
			count++
		}
	}
	return count
}

// updateBuildSources passes on which disk VMs there are, and how many routers. The disk VMs count
// once one of them has listed all: a majority of some is none. The lock is held.
func (r *Router) updateBuildSources(now time.Duration) {
	if diskVMs := r.follower.NamedDiskVMs(now); len(diskVMs) > 0 {
		r.builds.quorum.SetDiskVMs(diskVMs)
	}
	r.builds.quorum.SetRouters(len(r.others) + 1)
}

// setOriginRouters passes on which routers remember where streams began. The lock is held.
func (r *Router) setOriginRouters() {
	n := r.relay.Neighbours()
	routers := origin.Routers{Self: r.settings.Self(), Replicas: n.Mesh, Relay: n.Relay, Relays: len(n.Relays)+len(n.Members) > 0}
	if routers.Relay != "" || routers.Relays {
		routers.Replicas = r.relay.OtherRelays()
	}
	r.builds.origins.SetRouters(routers)
}

// tickBuilds sends what is due to disk VMs and replicas, and answers what wasn't answered in
// time. The lock is held.
func (r *Router) tickBuilds(now time.Duration) {
	b := &r.builds
	messages, unanswered := b.quorum.Tick(now, len(b.unconfirmed) > 0)
	for _, m := range messages {
		r.fabric.SendEach(m.To, m.Read)
	}
	for _, answer := range unanswered {
		r.answerReaders(answer)
	}
	origins, found := b.origins.Tick(now)
	r.sendOrigins(origins)
	r.answerAskers(found)
}

// applyBuilds takes a disk VM's reply. The lock is held.
func (r *Router) applyBuilds(from protocol.RouterID, reply builds.Reply) {
	if answer, done := r.builds.quorum.HandleReply(from, reply); done {
		r.answerReaders(answer)
		r.tickBuilds(r.now())
	}
	r.setDoubted()
}

// answerReaders passes an answer of the quorum on. The lock is held.
func (r *Router) answerReaders(answer builds.Answer) {
	for _, waiter := range answer.Waiters {
		if reader := r.builds.readers[waiter]; reader != nil {
			delete(r.builds.readers, waiter)
			reader <- answer
		}
	}
}

// answerAskers passes answers of the directory on. The lock is held.
func (r *Router) answerAskers(found []origin.Found) {
	for _, f := range found {
		if asker := r.builds.askers[f.Call]; asker != nil {
			delete(r.builds.askers, f.Call)
			asker <- f
		}
	}
}

// sendOrigins sends messages about origins. The lock is held.
func (r *Router) sendOrigins(messages []origin.Message) {
	for _, m := range messages {
		r.fabric.Send(m.To, m.Body)
	}
}

// applyOriginReply takes a replica's answer. The lock is held.
func (r *Router) applyOriginReply(now time.Duration, reply origin.Reply) {
	messages, found := r.builds.origins.HandleReply(now, reply)
	r.sendOrigins(messages)
	r.answerAskers(found)
}
