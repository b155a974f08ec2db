"""The passes that measure one combination of sizes, one module each."""
