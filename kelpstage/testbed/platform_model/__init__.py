"""A simulated model of the platform on which the product is deployed, and its rules."""
