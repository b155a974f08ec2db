"""Run the decision module in the simulator: `codec` translates its messages, `adapter` hosts the gateways."""
