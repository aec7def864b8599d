"""A load balancer with one daemon beside each upstream."""
