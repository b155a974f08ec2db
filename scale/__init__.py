"""The scale tool: measure how the costs of an ingress grow with the size of its fleet.

Terms:

- A *hollow ingress* is the decision module with its real control traffic, but without client or backend
  sockets, so that one process can simulate hundreds of them.
- A *real ingress* is a process of the program that is measured.
- A *stand-in* simulates a peer of the ingresses: the discovery agent, the shared counter, the backends or the
  clients.
- A *scenario* (`scale run`) runs a fleet in real time, with timed events such as a restart or a lost zone.
- A *sweep* (`scale slopes`) measures the decision module alone while one size of the fleet grows.
- A *cold start* (`scale cold`) is the start of a backend that can't serve its full capacity yet.
"""
