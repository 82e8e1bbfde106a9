//! Restart of background tasks that panic, so that an unexpected error costs one run of the task and
//! neither the process nor, silently, the task.

use std::{future::Future, time::Duration};

use tokio::{task::JoinSet, time::sleep};

/// Pause before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a background task, and starts it again after a panic. Returns when the task ends without one.
pub async fn supervise<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    // Dropping the set aborts the task together with this future.
    let mut task = JoinSet::new();
    loop {
        task.spawn(start());
        match task.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                log::error!(task = name, cause:% = error; "a background task failed; restarting it");
                sleep(RESTART_DELAY).await;
            }
            _ => return,
        }
    }
}
