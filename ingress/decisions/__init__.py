"""The decisions of a gateway: `Gateway.handle` takes an event and returns the actions to carry out.

This package reads no clock, file or socket.  The host passes the time `now` with each event.  All times are
in seconds on the host's clock, which never goes back.  `units` are units of a customer's quota.

The parts work together as follows, by event:

- `Request`: `RequestIntake` finds the `Customer` through `Admission` and builds a `PendingRequest`.  If the
  customer's slice of the quota is low, `UsageCounter` asks the shared counter, and the request waits in
  `Customer.requests_awaiting_counter`; otherwise `RequestDecision` decides on it directly.  `RequestDecision`
  checks the customer's limits with `Admission` and compares the share of requests to shed
  (`OverloadDetector`) with the request's rank among recent ones (`RequestRanking`).  If the request is
  admitted, `LoadBalancer` chooses a `TrackedBackend`, and `AttemptTracker` charges the limits and sends the
  attempt.  If not, or if no backend may get the attempt, `FinalAnswers` finishes the request.
- `AttemptEnded`: `AttemptOutcomeHandler` removes the attempt from `AttemptTracker`.  `OutcomeRecorder`
  updates the backend, `AnswerTimes` and `SlowStart`.  After a failure, either `RetryPolicy` permits a retry
  or `FinalAnswers` finishes the request.
- `CounterReply`: `RequestDecision` passes it to `UsageCounter`, whose `CountLearning` updates the customer's
  `QuotaEstimate` and `Ceiling`; then it decides on the requests that waited for the reply.
- `EndpointUpdate`: `CandidateSet`, a part of `LoadBalancer`, tracks the backends that `Subsetting` selects.
- `TimerFired`: `Timers` evicts idle customers, and reports use to the shared counter or, through
  `GossipExchange`, to other gateways.
- `GossipReceived`: `GossipExchange` reads the message with `PeerReports` and updates the estimates of the
  customers.
- `StreamStarted`: `RequestIntake` removes the request's deadline.
- `RequestCancelled`: `RequestIntake` drops the request.
"""

from ingress.decisions.gateway import Gateway

__all__ = ["Gateway"]
