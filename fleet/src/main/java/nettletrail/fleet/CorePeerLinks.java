package nettletrail.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.control.host.CoreHostLinks;
import nettletrail.protocol.Member;
import nettletrail.protocol.link.Links;
import org.apache.avro.specific.SpecificRecord;

/**
 * The links of a core process over sockets: one is kept to each seed and member, and to nobody
 * else. On the event loop.
 */
final class CorePeerLinks implements CoreHostLinks {
  private final Links links;
  private final ValidMessageSender sender;
  private final String ownAddress;
  private List<String> seeds;

  CorePeerLinks(Links links, String ownAddress, List<String> seeds) {
    this.links = links;
    this.sender = new ValidMessageSender(links::send, System::nanoTime);
    this.ownAddress = ownAddress;
    this.seeds = seeds;
  }

  /** Replaces the seeds; links follow at the next {@link #followMembers}. */
  void setSeeds(List<String> changed) {
    seeds = changed;
  }

  @Override
  public void sendToCore(String address, SpecificRecord message, long validUntil) {
    sender.send(address, message, validUntil);
  }

  @Override
  public void sendToDoor(String door, SpecificRecord message) {
    links.send(door, message);
  }

  @Override
  public boolean isUp(String peer) {
    return links.isUp(peer);
  }

  /** Does nothing: members are dialled at the ticks only. */
  @Override
  public void coreLinkUp(String address) {}

  @Override
  public void followMembers(List<Member> members) {
    Set<String> wanted = new HashSet<>(seeds);
    for (Member member : members) {
      wanted.add(member.getAddress());
    }
    for (String address : Set.copyOf(links.dialledAddresses())) {
      if (!wanted.contains(address)) {
        links.stopDialling(address);
      }
    }
    wanted.forEach(this::dialOther);
  }

  private void dialOther(String address) {
    if (!address.equals(ownAddress)) {
      links.dial(address);
    }
  }
}
