"""The capacity page's tables of what each role costs at full size, one module per role."""
