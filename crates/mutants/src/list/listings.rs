//! Wrong changes to the age limit of the platform's list of workers.

use crate::mutant::Mutant;

/// The changes of this module.
pub const MUTANTS: &[Mutant] = &[
    Mutant {
        name: "worker-chosen-on-a-listing-of-any-age",
        point: 6,
        file: "crates/scheduler/src/leader/worker_entry.rs",
        find: "let is_listed = is_listed && now < self.starts_until;",
        replace: "",
        test: "-p scheduler --test leader_listing_age jobs_that_waited_for_a_late_list_run_after_it_arrives",
    },
    Mutant {
        name: "start-sent-on-a-listing-of-any-age",
        point: 6,
        file: "crates/scheduler/src/worker/orders.rs",
        find: r#"            || now >= self.start_limit
        {"#,
        replace: "        {",
        test: "-p scheduler --test worker_orders start_is_not_sent_after_its_listing_expired",
    },
    Mutant {
        name: "drain-extends-the-time-for-starts",
        point: 6,
        file: "crates/scheduler/src/leader/instances.rs",
        find: "if !instance.draining && entry.session.extend_start_limit(start_limit) {",
        replace: "if entry.session.extend_start_limit(start_limit) {",
        test:
            "-p scheduler --test leader_listing_age withheld_start_on_a_draining_worker_is_placed_elsewhere",
    },
    Mutant {
        name: "expired-start-written",
        point: 6,
        file: "crates/control/src/limited_stream.rs",
        find: "state.expires_at.is_some_and(|expiry| Instant::now() >= expiry)",
        replace: "state.expires_at.is_some_and(|_| false)",
        test: "-p control --test expired_calls request_that_expires_before_the_write_is_not_sent",
    },
    Mutant {
        name: "listing-as-of-its-arrival",
        point: 6,
        file: "crates/control/src/platform/reader.rs",
        find: r#"            let requested_at = self.clock.now();
            let body = self.read_page(address, list_read.next_token());
            let body = timeout(PAGE_TIMEOUT, body).await.map_err(|_| PlatformError::Timeout)??;"#,
        replace: r#"            let body = self.read_page(address, list_read.next_token());
            let body = timeout(PAGE_TIMEOUT, body).await.map_err(|_| PlatformError::Timeout)??;
            let requested_at = self.clock.now();"#,
        test: "-p control --test platform each_page_is_sent_on_arrival_with_its_request_time",
    },
];
