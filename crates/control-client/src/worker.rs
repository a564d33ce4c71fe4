//! A separate thread with its own runtime, beside the instance's; started only where the operators' settings enable it.

use std::future::Future;
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::SetupError;

/// Resolves when the worker has to stop.
pub type StopSignal = oneshot::Receiver<()>;

/// How long [`Worker::stop`] waits for the end of the worker, which may be writing to a store.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A thread that runs one future.
pub struct Worker {
    stop: oneshot::Sender<()>,
    ended: mpsc::Receiver<()>,
}

impl Worker {
    /// Runs the future on a new thread of that name with its own runtime, until it ends or is stopped.
    pub fn start<F: Future<Output = ()>>(
        name: &'static str,
        run: impl FnOnce(StopSignal) -> F + Send + 'static,
    ) -> Result<Worker, SetupError> {
        let (stop, stop_signal) = oneshot::channel();
        let (end, ended) = mpsc::channel();
        let span = tracing::Span::current();
        let body = move || {
            let _entered = span.entered();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => runtime.block_on(run(stop_signal)),
                Err(e) => tracing::error!("{name}: the runtime could not be created: {e}"),
            }
            let _ = end.send(());
        };
        let thread = std::thread::Builder::new().name(name.into());
        thread.spawn(body).map_err(|source| SetupError::Thread { name, source })?;
        Ok(Worker { stop, ended })
    }

    /// Tells the worker to stop and waits for it, but not longer than [`STOP_TIMEOUT`].
    pub fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.ended.recv_timeout(STOP_TIMEOUT);
    }
}
