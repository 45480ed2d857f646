//! Errors of a bench run.

use derive_more::{Display, Error, From};

/// Why a bench run failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The cluster could not start or apply a release note.
    #[display("{_0}")]
    Testbed(testbed::Failure),
    /// A client failed during preparation.
    #[display("a client failed: {_0}")]
    Client(postgres::Error),
    /// A deployment file is not valid.
    #[display("the deployment is not valid: {_0}")]
    Deployment(
        #[error(not(source))]
        #[from(skip)]
        String,
    ),
    /// A histogram could not be created.
    #[display("a histogram could not be created")]
    Histogram(hdrhistogram::CreationError),
    /// A simulated instance, platform or link failed.
    #[display("{_0}")]
    Standin(standin::Failure),
}
