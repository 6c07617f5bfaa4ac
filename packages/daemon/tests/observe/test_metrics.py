from peridothatch_daemon.observe import metrics


def test_the_error_of_expected_run_times_is_exported_by_queue():
    # Without the queue, the many tasks of a wide class would hide the error of the urgent one.
    exported = metrics.start("front-1")
    record = metrics.create_error_recorder(exported, "scheduler_run_time_error", "Error")
    record("urgent", 0.4)
    record("wide", 1.2)
    record("wide", 0.2)
    text = metrics.render(exported, {"tasks": {}}).decode()
    metrics.close(exported)
    counts = {
        line.split('queue="')[1].split('"')[0]: float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith("peridothatch_scheduler_run_time_error_count{")
    }
    assert counts == {"urgent": 1.0, "wide": 2.0}
