//! A thread beside the instance's own, with a runtime: started only where the operators' settings ask for it.

use std::future::Future;
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::SetupError;

/// Resolves when the work is to end.
pub type Stopped = oneshot::Receiver<()>;

/// How long the end of a worker is waited for: a write to a store that is under way.
const END_WITHIN: Duration = Duration::from_secs(1);

/// A thread that runs one future.
pub struct Worker {
    stop: oneshot::Sender<()>,
    ended: mpsc::Receiver<()>,
}

impl Worker {
    /// Runs on a thread with a runtime of its own until it ends, or is told to. The thread has that name.
    pub fn start<F: Future<Output = ()>>(
        name: &'static str,
        run: impl FnOnce(Stopped) -> F + Send + 'static,
    ) -> Result<Worker, SetupError> {
        let (stop, stopped) = oneshot::channel();
        let (over, ended) = mpsc::channel();
        let span = tracing::Span::current();
        let body = move || {
            let _entered = span.entered();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => runtime.block_on(run(stopped)),
                Err(e) => tracing::error!("{name}: does not run: {e}"),
            }
            let _ = over.send(());
        };
        let thread = std::thread::Builder::new().name(name.into());
        thread.spawn(body).map_err(|source| SetupError::Thread { name, source })?;
        Ok(Worker { stop, ended })
    }

    /// What it is in the middle of is finished; more is not waited for.
    pub fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.ended.recv_timeout(END_WITHIN);
    }
}
