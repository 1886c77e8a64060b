// What agreement's packets hold, one alternative each.
#include "golden/golden.h"
#include "golden/version.h"
#include "shared_config.pb.h"

namespace cairnhub::golden {

namespace {

using accord::wire::Packet;

Packet ask() {
  Packet packet;
  auto& ask = *packet.mutable_ask();
  ask.set_sequence(901);
  ask.set_have(17);
  ask.set_ground(4);
  ask.set_settled(3);
  ask.set_taken(900);
  ask.set_may_vote(true);
  ask.set_voter_id(0x1122334455667788);
  ask.set_bye(true);
  return packet;
}

void expect_ask(const Packet& packet) {
  ASSERT_TRUE(packet.has_ask());
  const auto& ask = packet.ask();
  EXPECT_EQ(ask.sequence(), 901U);
  EXPECT_EQ(ask.have(), 17U);
  EXPECT_EQ(ask.ground(), 4U);
  EXPECT_EQ(ask.settled(), 3U);
  EXPECT_EQ(ask.taken(), 900U);
  EXPECT_TRUE(ask.may_vote());
  EXPECT_EQ(ask.voter_id(), 0x1122334455667788U);
  EXPECT_TRUE(ask.bye());
}

Packet grant() {
  Packet packet;
  auto& grant = *packet.mutable_grant();
  grant.set_sequence(901);
  grant.set_low(16);
  grant.set_high(18);
  grant.set_span(2'000'000'000);
  fill(*grant.add_version(), 17);
  fill(*grant.add_version(), 18);
  fill(*grant.mutable_ground(), 4);
  fill(*grant.mutable_ground_next(), 5);
  grant.set_term(6);
  return packet;
}

void expect_grant(const Packet& packet) {
  ASSERT_TRUE(packet.has_grant());
  const auto& grant = packet.grant();
  EXPECT_EQ(grant.sequence(), 901U);
  EXPECT_EQ(grant.low(), 16U);
  EXPECT_EQ(grant.high(), 18U);
  EXPECT_EQ(grant.span(), 2'000'000'000U);
  ASSERT_EQ(grant.version_size(), 2);
  expect_filled(grant.version(0), 17);
  expect_filled(grant.version(1), 18);
  expect_filled(grant.ground(), 4);
  expect_filled(grant.ground_next(), 5);
  EXPECT_EQ(grant.term(), 6U);
}

Packet redirect() {
  Packet packet;
  packet.mutable_redirect()->set_leader("b2");
  packet.mutable_redirect()->set_sequence(902);
  return packet;
}

void expect_redirect(const Packet& packet) {
  ASSERT_TRUE(packet.has_redirect());
  EXPECT_EQ(packet.redirect().leader(), "b2");
  EXPECT_EQ(packet.redirect().sequence(), 902U);
}

Packet confirm() {
  Packet packet;
  packet.mutable_confirm()->set_term(7);
  packet.mutable_confirm()->set_round(1000);
  packet.mutable_confirm()->set_back(true);
  return packet;
}

void expect_confirm(const Packet& packet) {
  ASSERT_TRUE(packet.has_confirm());
  EXPECT_EQ(packet.confirm().term(), 7U);
  EXPECT_EQ(packet.confirm().round(), 1000U);
  EXPECT_TRUE(packet.confirm().back());
}

Packet proposal() {
  Packet packet;
  packet.mutable_proposal()->set_entry(std::string("\x08\x01\x00\xff", 4));
  return packet;
}

void expect_proposal(const Packet& packet) {
  ASSERT_TRUE(packet.has_proposal());
  EXPECT_EQ(packet.proposal().entry(), std::string("\x08\x01\x00\xff", 4));
}

Packet verdict() {
  Packet packet;
  packet.mutable_verdict()->set_id("p12");
  packet.mutable_verdict()->set_number(19);
  packet.mutable_verdict()->set_refused("why not");
  return packet;
}

void expect_verdict(const Packet& packet) {
  ASSERT_TRUE(packet.has_verdict());
  EXPECT_EQ(packet.verdict().id(), "p12");
  EXPECT_EQ(packet.verdict().number(), 19U);
  EXPECT_EQ(packet.verdict().refused(), "why not");
}

Packet lists() {
  Packet packet;
  auto& lists = *packet.mutable_lists();
  lists.set_newest(42);
  lists.set_digest(0x8877665544332211);
  lists.set_ask(true);
  auto& notice = *lists.add_notice();
  notice.set_node("h3");
  notice.set_started(-5);
  notice.set_gone(true);
  notice.set_revision(41);
  return packet;
}

void expect_lists(const Packet& packet) {
  ASSERT_TRUE(packet.has_lists());
  EXPECT_EQ(packet.lists().newest(), 42U);
  EXPECT_EQ(packet.lists().digest(), 0x8877665544332211U);
  EXPECT_TRUE(packet.lists().ask());
  ASSERT_EQ(packet.lists().notice_size(), 1);
  const auto& notice = packet.lists().notice(0);
  EXPECT_EQ(notice.node(), "h3");
  EXPECT_EQ(notice.started(), -5);
  EXPECT_TRUE(notice.gone());
  EXPECT_EQ(notice.revision(), 41U);
}

}  // namespace

std::vector<Golden> consensus() {
  return {of_message("consensus.ask", ask, expect_ask),
          of_message("consensus.grant", grant, expect_grant),
          of_message("consensus.redirect", redirect, expect_redirect),
          of_message("consensus.confirm", confirm, expect_confirm),
          of_message("consensus.proposal", proposal, expect_proposal),
          of_message("consensus.verdict", verdict, expect_verdict),
          of_message("consensus.lists", lists, expect_lists)};
}

}  // namespace cairnhub::golden
