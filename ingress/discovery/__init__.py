"""The endpoint list, kept up to date by a watch on the local discovery agent.

`watch` polls the agent through `http_client` and reports each change; `endpoint_list` and `endpoint_entry`
decode the responses; `timing` holds the timeouts, and `backoff` computes the retry delays.
"""
