//! Cuts a gateway off from its peers: their processes are suspended, so that connections to them open
//! and stay silent.

use rustix::process::Signal;

use crate::soak_process::GatewayProcess;

/// Peers that are suspended until this is dropped.
#[derive(Debug)]
pub struct SilentPeers<'a> {
    peers: Vec<&'a GatewayProcess>,
}

impl<'a> SilentPeers<'a> {
    /// Suspends all processes but that of the gateway with this number.
    #[must_use]
    pub fn of(gateways: &'a [GatewayProcess], gateway: usize) -> Self {
        let numbered = gateways.iter().enumerate();
        let others = numbered.filter(|(number, _)| *number != gateway);
        let peers: Vec<&GatewayProcess> = others.map(|(_, process)| process).collect();
        for peer in &peers {
            peer.send_signal(Signal::STOP);
        }
        Self { peers }
    }
}

impl Drop for SilentPeers<'_> {
    fn drop(&mut self) {
        for peer in &self.peers {
            peer.send_signal(Signal::CONT);
        }
    }
}
