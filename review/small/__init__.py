"""Stand-ins and start of the project's programs for the cases from 6 on."""
