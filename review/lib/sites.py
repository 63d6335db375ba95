"""The settings of the deployments, as the pages give them."""

LOANS = {
    "zones": ["soweto-room", "durban-rack", "gqeberha-hall"],
    "teams": [("credit-desk", 88, 320), ("collections", 40, 112), ("member-desk", 56, 88)],
    "report_s": 2.5, "lease_s": 16.0, "cancel_s": 36.0,
    "rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24,
    "cloud_rps": 2.0, "list_lag_s": 8.0,
    "cpu_share": 0.51, "ram_mb": 205.0, "max_connections": 1800,
    "builds": [
        {"name": name, "cpus": cpus, "cards": 0, "memory_gb": 32, "cache_gb": 100,
         "fetch_gb_per_s": 1.0, "price": price, "spot_price": spot, "ready_s": 20,
         "sites": ["soweto-room", "durban-rack", "gqeberha-hall"]}
        for name, cpus, price, spot in [("teller-box", 8, 0.34, 0.09), ("vault-box", 16, 0.64, 0.15)]],
}

# The page of the change: larger teams, and the limits that the state service will have.
LOANS_NEXT = dict(
    LOANS,
    teams=[("credit-desk", 2000, 8000), ("collections", 800, 2500), ("member-desk", 1200, 2000)],
    next={"write_rps": 35.0, "value_kb": 2.0, "txn_ops": 8})

GAUGES = {
    "zones": ["kenitra-room", "fes-room"],
    "teams": [("jaugeurs", 0, 0)],
    "report_s": 1.0, "lease_s": 10.0, "cancel_s": 35.0,
    "rps": 250.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32,
    "cloud_rps": 6.0, "list_lag_s": 3.0,
    "cpu_share": 0.255, "ram_mb": 176.0, "max_connections": 600,
    "builds": [
        {"name": "oued-node", "cpus": 16, "cards": 0, "memory_gb": 128, "cache_gb": 100,
         "fetch_gb_per_s": 1.0, "price": 0.9, "spot_price": 0.25, "ready_s": 35,
         "sites": ["kenitra-room", "fes-room"]},
        {"name": "barrage-node", "cpus": 32, "cards": 0, "memory_gb": 64, "cache_gb": 100,
         "fetch_gb_per_s": 1.0, "price": 1.38, "spot_price": 0.37, "ready_s": 50,
         "sites": ["kenitra-room", "fes-room"]}],
}

# The page of the change: the same limits of the controllers' machines, and more work.
GAUGES_NEXT = dict(GAUGES, next={"write_rps": 28.0, "value_kb": 2.0, "txn_ops": 10})
