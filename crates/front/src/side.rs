//! A thread beside the front's own: started only where the operators' settings ask for it.

use std::future::Future;
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;

pub struct Side {
    stop: oneshot::Sender<()>,
    ended: mpsc::Receiver<()>,
}

impl Side {
    /// Runs on a thread with a runtime of its own until it ends, or is told to.
    pub fn start<F: Future<Output = ()>>(
        name: &'static str,
        run: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> Result<Side, String> {
        let (stop, stopped) = oneshot::channel();
        let (over, ended) = mpsc::channel();
        let named = tracing::Span::current();
        let body = move || {
            let _named = named.entered();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => runtime.block_on(run(stopped)),
                Err(e) => tracing::error!("{name}: does not run: {e}"),
            }
            let _ = over.send(());
        };
        let thread = std::thread::Builder::new().name(name.into());
        thread.spawn(body).map_err(|e| format!("{name}: {e}"))?;
        Ok(Side { stop, ended })
    }

    /// What it is in the middle of is finished; more is not waited for.
    pub fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.ended.recv_timeout(Duration::from_secs(1));
    }
}
