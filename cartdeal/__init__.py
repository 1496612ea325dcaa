"""A sidecar balancer for service-to-service calls."""
