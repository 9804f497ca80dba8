"""What is known of orders, and for how long."""
