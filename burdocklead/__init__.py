"""A load balancer whose daemons sit beside the upstreams they serve."""
